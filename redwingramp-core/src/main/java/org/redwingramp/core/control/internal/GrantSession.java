package org.redwingramp.core.control.internal;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.redwingramp.core.control.Command.FencedShard;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;

/**
 * The grants that one gate sends to one incarnation of a target under one gate epoch. Not
 * thread safe.
 *
 * <p>
 * A grant states the end of its lease by the target's own clock, which the gate knows
 * from the clock reading in the last reply.
 *
 * <p>
 * Invariants: a grant lease ends at most one grant lease time after the target's last
 * clock reading, and never after the gate lease. The gate's end of the lease is counted
 * from the send time of the grant whose reply brought the reading, so it is never later
 * than the target's. The end of the lease that must have passed before the target counts
 * as lost is counted from the arrival of that reply, so it is never earlier than the
 * target's.
 */
final class GrantSession {

	private static final long NANOS_PER_MILLISECOND = 1_000_000L;

	/**
	 * Maximum number of unanswered grants that are kept; the oldest are dropped. Grants
	 * that are older than the grant timeout give no further information about whether the
	 * target is lost.
	 */
	private static final int MAX_UNANSWERED = 64;

	private static final long NEVER = Long.MIN_VALUE;

	private final ControlTiming timing;

	private final String bootId;

	private final long epoch;

	private final boolean newIncarnation;

	private final Deque<SentGrant> unanswered = new ArrayDeque<>();

	private final Set<FencedShard> drained = new HashSet<>();

	/** The time from which no request of the previous gate can be running. */
	private final long previousRequestsEnd;

	/** Whether the target may still run requests of the previous gate. */
	private boolean previousRequestsPossible;

	private long number;

	/** The target's clock in the last reply, -1 before the first reply. */
	private long targetClockMillis = -1;

	private long clockReadingSentAt;

	private long clockReadingReceivedAt;

	/** The end of the grant lease by which the gate dispatches. */
	private long leaseEnd = NEVER;

	/** The latest time at which the target's grant lease can end. */
	private long latestTargetLeaseEnd;

	private Set<FencedShard> acknowledged;

	private boolean lostReported;

	private boolean handOverRequested;

	private boolean handedOver;

	/**
	 * Creates the session.
	 * @param timing the heartbeat, lease and timeout durations
	 * @param target the target with its incarnation and gate epoch
	 * @param previousGate what is known about the previous gate
	 * @param now the monotonic time in nanoseconds
	 */
	GrantSession(ControlTiming timing, TargetState target, PreviousGate previousGate, long now) {
		this.timing = timing;
		this.bootId = target.spec().bootId();
		this.epoch = target.gateEpoch();
		this.newIncarnation = previousGate.newIncarnation();
		this.previousRequestsPossible = !previousGate.newIncarnation();
		this.previousRequestsEnd = now + timing.grantorWaitNanos(previousGate.maxRequestNanos());
		this.latestTargetLeaseEnd = previousGate.leaseExpired() ? now
				: now + timing.grantorWaitNanos(timing.grantLeaseNanos());
	}

	boolean matches(TargetState target) {
		return this.epoch == target.gateEpoch() && this.bootId.equals(target.spec().bootId());
	}

	Grant nextGrant(String gate, Collection<ShardState> owned, long gateLeaseEnd, long now) {
		List<FencedShard> shards = owned.stream()
			.filter((shard) -> inGrant(shard, now))
			.map((shard) -> new FencedShard(shard.id(), shard.fence()))
			.toList();
		long lease = leaseNanos(gateLeaseEnd, now);
		long leaseUntilMillis = (lease > 0) ? this.targetClockMillis + lease / NANOS_PER_MILLISECOND : 0;
		if (lease > 0) {
			this.latestTargetLeaseEnd = Math.max(this.latestTargetLeaseEnd,
					this.clockReadingReceivedAt + this.timing.grantorWaitNanos(lease));
		}
		this.number++;
		this.unanswered.addLast(new SentGrant(this.number, now,
				this.clockReadingSentAt + this.timing.holderLeaseNanos(lease), lease > 0, Set.copyOf(shards)));
		if (this.unanswered.size() > MAX_UNANSWERED) {
			this.unanswered.removeFirst();
		}
		return new Grant(gate, this.epoch, this.number, this.bootId, leaseUntilMillis, shards);
	}

	private boolean inGrant(ShardState shard, long now) {
		return shard.phase() == ShardPhase.OWNED || (shard.phase() == ShardPhase.RELEASING && !this.newIncarnation
				&& !drained(new FencedShard(shard.id(), shard.fence()), now));
	}

	private long leaseNanos(long gateLeaseEnd, long now) {
		if (this.targetClockMillis < 0 || gateLeaseEnd <= now || this.lostReported || this.handedOver) {
			return 0;
		}
		long lease = Math.min(this.timing.grantLeaseNanos(),
				this.timing.holderLeaseNanos(gateLeaseEnd - this.clockReadingReceivedAt));
		return (lease >= NANOS_PER_MILLISECOND) ? lease : 0;
	}

	void reply(GrantReply reply, long now) {
		if (!reply.bootId().equals(this.bootId) || reply.epoch() != this.epoch
				|| reply.clockMillis() < this.targetClockMillis || this.unanswered.isEmpty()) {
			return;
		}
		// The target rejects lower numbers from now on, so earlier grants in flight have
		// no effect.
		while (!this.unanswered.isEmpty() && this.unanswered.getFirst().number() < reply.number()) {
			this.unanswered.removeFirst();
		}
		if (this.unanswered.isEmpty() || this.unanswered.getFirst().number() != reply.number()) {
			return;
		}
		SentGrant sent = this.unanswered.removeFirst();
		this.targetClockMillis = reply.clockMillis();
		this.clockReadingSentAt = sent.sentAt();
		this.clockReadingReceivedAt = now;
		this.acknowledged = sent.shards();
		if (sent.hasLease()) {
			this.leaseEnd = Math.max(this.leaseEnd, sent.leaseEnd());
		}
		this.previousRequestsPossible = this.previousRequestsPossible && reply.inFlight() > 0;
	}

	boolean holdsLease(long now) {
		return now < this.leaseEnd && !dispatchStopped();
	}

	boolean acknowledged(FencedShard shard) {
		return this.acknowledged != null && this.acknowledged.contains(shard);
	}

	private boolean dispatchStopped() {
		return this.lostReported || this.handOverRequested || this.handedOver;
	}

	boolean lost(long now) {
		return this.lostReported || (!this.handedOver && now >= this.latestTargetLeaseEnd && !this.unanswered.isEmpty()
				&& now - this.unanswered.getFirst().sentAt() >= this.timing.grantTimeoutNanos());
	}

	void reportLost() {
		this.lostReported = true;
	}

	void requestHandOver() {
		this.handOverRequested = true;
	}

	boolean handOverRequested() {
		return this.handOverRequested;
	}

	void reportHandedOver() {
		this.handedOver = true;
	}

	boolean handedOver() {
		return this.handedOver;
	}

	void drain(FencedShard shard) {
		this.drained.add(shard);
	}

	private boolean drained(FencedShard shard, long now) {
		return this.drained.contains(shard) && (!this.previousRequestsPossible || now >= this.previousRequestsEnd);
	}

	boolean released(FencedShard shard, long now) {
		return drained(shard, now) && this.acknowledged != null && !this.acknowledged.contains(shard)
				&& this.unanswered.stream().noneMatch((sent) -> sent.shards().contains(shard));
	}

	void retainDrained(Set<FencedShard> releasing) {
		this.drained.retainAll(releasing);
	}

	/**
	 * What is known about the previous gate of the target.
	 *
	 * @param newIncarnation whether the target has restarted, so that it has neither
	 * grants nor requests from the previous gate
	 * @param leaseExpired whether no grant lease of the previous gate can be valid
	 * @param maxRequestNanos the time after which no request of the previous gate is
	 * running
	 */
	record PreviousGate(boolean newIncarnation, boolean leaseExpired, long maxRequestNanos) {
	}

	/**
	 * A grant in flight.
	 *
	 * @param number its number
	 * @param sentAt when it was sent
	 * @param leaseEnd the end of its lease by the gate's clock
	 * @param hasLease whether it states a lease
	 * @param shards the shards that it lists
	 */
	private record SentGrant(long number, long sentAt, long leaseEnd, boolean hasLease, Set<FencedShard> shards) {
	}

}

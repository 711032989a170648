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
 * The grants of one gate to one run of a target under one gate epoch. Not thread safe.
 *
 * <p>
 * Invariants: a grant names a lease of at most the grant lease after the target's last
 * reading, and none beyond the gate lease; the gate's own end of the lease is counted
 * from the send time of the grant that fetched the reading, so it is never later than the
 * target's; the end that a loss waits for is counted from the arrival of the reading, so
 * it is never earlier than the target's.
 */
final class GrantSession {

	private static final long MILLISECOND = 1_000_000L;

	/** More unanswered grants than the timeout allows for say nothing new. */
	private static final int MAX_UNANSWERED = 64;

	private static final long NEVER = Long.MIN_VALUE;

	private final ControlTiming timing;

	private final String bootId;

	private final long epoch;

	private final boolean newRun;

	private final Deque<Sent> unanswered = new ArrayDeque<>();

	private final Set<FencedShard> drained = new HashSet<>();

	private final long formerRequestsEnd;

	private boolean formerRequests;

	private long number;

	private long readingMillis = -1;

	private long readingSent;

	private long readingArrived;

	private long leaseEnd = NEVER;

	private long lossEnd;

	private Set<FencedShard> acknowledged;

	private boolean lostReported;

	private boolean handOver;

	private boolean handedOver;

	/**
	 * Creates the session.
	 * @param timing the leases
	 * @param target the target with its run and epoch
	 * @param origin what is known about the former gate
	 * @param now the monotonic time in nanoseconds
	 */
	GrantSession(ControlTiming timing, TargetState target, Origin origin, long now) {
		this.timing = timing;
		this.bootId = target.spec().bootId();
		this.epoch = target.gateEpoch();
		this.newRun = origin.newRun();
		this.formerRequests = !origin.newRun();
		this.formerRequestsEnd = now + timing.waitedNanos(origin.longestRequestNanos());
		this.lossEnd = origin.formerLeaseOver() ? now : now + timing.waitedNanos(timing.grantLeaseNanos());
	}

	boolean matches(TargetState target) {
		return this.epoch == target.gateEpoch() && this.bootId.equals(target.spec().bootId());
	}

	Grant next(String gate, Collection<ShardState> owned, long gateLeaseEnd, long now) {
		List<FencedShard> shards = owned.stream()
			.filter((shard) -> granted(shard, now))
			.map((shard) -> new FencedShard(shard.id(), shard.fence()))
			.toList();
		long lease = leaseNanos(gateLeaseEnd, now);
		long until = (lease > 0) ? this.readingMillis + lease / MILLISECOND : 0;
		if (lease > 0) {
			this.lossEnd = Math.max(this.lossEnd, this.readingArrived + this.timing.waitedNanos(lease));
		}
		this.number++;
		this.unanswered.addLast(new Sent(this.number, now, this.readingSent + this.timing.heldNanos(lease), lease > 0,
				Set.copyOf(shards)));
		if (this.unanswered.size() > MAX_UNANSWERED) {
			this.unanswered.removeFirst();
		}
		return new Grant(gate, this.epoch, this.number, this.bootId, until, shards);
	}

	private boolean granted(ShardState shard, long now) {
		return shard.phase() == ShardPhase.OWNED || (shard.phase() == ShardPhase.RELEASING && !this.newRun
				&& !drained(new FencedShard(shard.id(), shard.fence()), now));
	}

	private long leaseNanos(long gateLeaseEnd, long now) {
		if (this.readingMillis < 0 || gateLeaseEnd <= now || this.lostReported || this.handedOver) {
			return 0;
		}
		long lease = Math.min(this.timing.grantLeaseNanos(), this.timing.heldNanos(gateLeaseEnd - this.readingArrived));
		return (lease >= MILLISECOND) ? lease : 0;
	}

	void reply(GrantReply reply, long now) {
		if (!reply.bootId().equals(this.bootId) || reply.epoch() != this.epoch
				|| reply.clockMillis() < this.readingMillis || this.unanswered.isEmpty()) {
			return;
		}
		// The target refuses lower numbers from now on, so earlier grants have no effect.
		while (!this.unanswered.isEmpty() && this.unanswered.getFirst().number() < reply.number()) {
			this.unanswered.removeFirst();
		}
		if (this.unanswered.isEmpty() || this.unanswered.getFirst().number() != reply.number()) {
			return;
		}
		Sent sent = this.unanswered.removeFirst();
		this.readingMillis = reply.clockMillis();
		this.readingSent = sent.sent();
		this.readingArrived = now;
		this.acknowledged = sent.shards();
		if (sent.lease()) {
			this.leaseEnd = Math.max(this.leaseEnd, sent.leaseEnd());
		}
		this.formerRequests = this.formerRequests && reply.inFlight() > 0;
	}

	boolean holdsLease(long now) {
		return now < this.leaseEnd && !stopped();
	}

	boolean acknowledged(FencedShard shard) {
		return this.acknowledged != null && this.acknowledged.contains(shard);
	}

	private boolean stopped() {
		return this.lostReported || this.handOver || this.handedOver;
	}

	boolean lost(long now) {
		return this.lostReported || (!this.handedOver && now >= this.lossEnd && !this.unanswered.isEmpty()
				&& now - this.unanswered.getFirst().sent() >= this.timing.grantTimeoutNanos());
	}

	void reportLost() {
		this.lostReported = true;
	}

	void requestHandOver() {
		this.handOver = true;
	}

	boolean handOverRequested() {
		return this.handOver;
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
		return this.drained.contains(shard) && (!this.formerRequests || now >= this.formerRequestsEnd);
	}

	boolean released(FencedShard shard, long now) {
		return drained(shard, now) && this.acknowledged != null && !this.acknowledged.contains(shard)
				&& this.unanswered.stream().noneMatch((sent) -> sent.shards().contains(shard));
	}

	void forgetAllBut(Set<FencedShard> releasing) {
		this.drained.retainAll(releasing);
	}

	/**
	 * What is known about the target's former gate.
	 *
	 * @param newRun whether the target's run is new, so that it has no grants and no
	 * requests
	 * @param formerLeaseOver whether no grant lease of a former gate can run
	 * @param longestRequestNanos the time after which no request of a former gate runs
	 */
	record Origin(boolean newRun, boolean formerLeaseOver, long longestRequestNanos) {
	}

	/**
	 * A grant on its way.
	 *
	 * @param number its number
	 * @param sent when it was sent
	 * @param leaseEnd the end of its lease by the gate's clock
	 * @param lease whether it names a lease
	 * @param shards the shards that it names
	 */
	private record Sent(long number, long sent, long leaseEnd, boolean lease, Set<FencedShard> shards) {
	}

}

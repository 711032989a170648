package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.KeyReport;
import org.redwingramp.core.ownership.KeyReport.HeldRange;
import org.redwingramp.core.ownership.KeyReport.ReleasedRange;
import org.redwingramp.core.ownership.LeaseRenewal;
import org.redwingramp.core.ownership.LeaseRenewal.GrantedRange;

/**
 * A stand-in for a target that is granted keys in the replies to its heartbeats. It has
 * one heartbeat outstanding at a time, accepts a reply only within a second, and reports
 * released ranges until a heartbeat is acknowledged. Its clock is slow by the maximum
 * that is allowed. Not thread safe.
 */
final class HeartbeatTarget {

	private static final long MS = 1_000_000;

	private static final long REPLY_TIMEOUT_NANOS = 1000 * MS;

	private static final double SLOW_CLOCK = 1.02;

	/** Time after which a target that is releasing keys sends its next heartbeat. */
	private static final long RELEASING_INTERVAL_NANOS = 100 * MS;

	static final long INTERVAL_NANOS = 870 * MS;

	final String name;

	long born;

	Stage stage = Stage.SERVING;

	long nextHeartbeatNanos;

	private final String address;

	private final Random random;

	private final List<Held> held = new ArrayList<>();

	private final List<HeldRange> seen = new ArrayList<>();

	private final List<ReleasedRange> freed = new ArrayList<>();

	private long sequence;

	private long sentNanos;

	private long unansweredSequence;

	HeartbeatTarget(String name, String address, long born, Random random) {
		this.name = name;
		this.address = address;
		this.born = born;
		this.random = random;
	}

	// Starts a new incarnation, which knows nothing of the former one.
	void restart(long now) {
		this.born++;
		this.held.clear();
		this.seen.clear();
		this.freed.clear();
		this.sequence = 0;
		this.unansweredSequence = 0;
		this.nextHeartbeatNanos = now;
	}

	// Sends no heartbeat for a time.
	void pause(long millis, long now) {
		this.nextHeartbeatNanos = now + millis * MS;
	}

	void drain() {
		this.stage = Stage.DRAINING;
	}

	TargetHeartbeat heartbeat(long now) {
		this.sequence++;
		this.sentNanos = now;
		this.unansweredSequence = this.sequence;
		this.nextHeartbeatNanos = now + REPLY_TIMEOUT_NANOS;
		List<HeldRange> rows = this.held.stream()
			.filter((part) -> part.untilNanos > now)
			.map((part) -> new HeldRange(part.keys, part.fence))
			.toList();
		return new TargetHeartbeat(new FleetTarget(this.name, this.born, "s", this.address, "d", 2, this.stage), 0,
				this.sequence, new KeyReport(rows, List.copyOf(this.freed)));
	}

	// Returns the ranges that are newly granted by the reply.
	List<HeldRange> replyReceived(long heartbeatBorn, long heartbeatSequence, LeaseRenewal renewal, long now) {
		if (heartbeatBorn != this.born || heartbeatSequence != this.unansweredSequence
				|| now - this.sentNanos > REPLY_TIMEOUT_NANOS) {
			return List.of();
		}
		this.unansweredSequence = 0;
		this.freed.clear();
		this.nextHeartbeatNanos = this.sentNanos + INTERVAL_NANOS;
		return (renewal != null) ? apply(renewal, now) : List.of();
	}

	private List<HeldRange> apply(LeaseRenewal renewal, long now) {
		long until = this.sentNanos + (long) (renewal.holdMillis() * MS * SLOW_CLOCK);
		List<GrantedRange> accepted = renewal.ranges()
			.stream()
			.filter((row) -> this.seen.stream()
				.noneMatch((other) -> other.keys().overlaps(row.keys()) && other.fence() > row.fence()))
			.toList();
		List<HeldRange> granted = accepted.stream()
			.map((row) -> new HeldRange(row.keys(), row.fence()))
			.filter((row) -> !this.seen.contains(row))
			.toList();
		List<Held> next = new ArrayList<>();
		accepted.forEach((row) -> next.add(new Held(row.keys(), row.fence(), until, Long.MAX_VALUE)));
		this.held.stream()
			.filter((part) -> part.untilNanos > now)
			.forEach((part) -> subtract(part.keys, accepted).forEach((left) -> next.add(new Held(left, part.fence,
					part.untilNanos, Math.min(part.workEndNanos, now + this.random.nextInt(300) * MS)))));
		this.held.clear();
		this.held.addAll(next);
		this.seen.addAll(granted);
		if (next.size() > accepted.size()) {
			this.nextHeartbeatNanos = now + RELEASING_INTERVAL_NANOS;
		}
		return granted;
	}

	void finishWork(long now) {
		this.held.removeIf((part) -> {
			boolean done = part.workEndNanos <= now;
			if (done && part.untilNanos > now) {
				this.freed.add(new ReleasedRange(part.keys, this.name + part.fence));
			}
			return done;
		});
	}

	List<HeldRange> held(long now) {
		return this.held.stream()
			.filter((part) -> part.untilNanos > now)
			.map((part) -> new HeldRange(part.keys, part.fence))
			.toList();
	}

	private static List<KeyRange> subtract(KeyRange keys, List<GrantedRange> removed) {
		List<KeyRange> parts = List.of(keys);
		for (GrantedRange row : removed) {
			parts = parts.stream().flatMap((part) -> {
				List<KeyRange> left = new ArrayList<>();
				if (!part.overlaps(row.keys())) {
					left.add(part);
				}
				else {
					if (part.first() < row.keys().first()) {
						left.add(new KeyRange(part.first(), row.keys().first() - 1));
					}
					if (part.last() > row.keys().last()) {
						left.add(new KeyRange(row.keys().last() + 1, part.last()));
					}
				}
				return left.stream();
			}).toList();
		}
		return parts;
	}

	private record Held(KeyRange keys, long fence, long untilNanos, long workEndNanos) {
	}

}

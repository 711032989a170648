package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.KeyReport;
import org.redwingramp.core.ownership.KeyReport.HeldRange;
import org.redwingramp.core.ownership.KeyReport.ReleasedRange;
import org.redwingramp.core.ownership.LeaseRenewal;
import org.redwingramp.core.ownership.LeaseRenewal.GrantedRange;

/**
 * A stand-in for one incarnation of a target that is granted keys by calls, and by the
 * replies to its heartbeats if they list any. It refuses a grant only if it has seen a
 * higher fence for one of the keys, in a grant or a release; a release takes keys away
 * whatever its fence, and so does a reply that leaves them out. It holds keys until the
 * grant's time has ended by its own clock, or until the work on released keys has ended.
 * Not thread safe.
 */
final class CallTarget {

	private static final long MS = SimulatedTime.MS;

	/** Time that a grant gives, from its arrival. */
	private static final long GRANT_NANOS = 3000 * MS;

	private static final long REPLY_TIMEOUT_NANOS = 1000 * MS;

	private static final double SLOW_CLOCK = 1.02;

	private static final int MAX_WORK_MILLIS = 300;

	/** Exceeds the time after which the sender of a release gives up waiting. */
	private static final int MAX_LONG_WORK_MILLIS = 2500;

	final String name;

	final long born;

	final String address;

	boolean alive = true;

	Stage stage = Stage.SERVING;

	boolean cutFromControl;

	boolean cutFromEntries;

	private final double clock;

	private final Random random;

	private final List<Part> held = new ArrayList<>();

	private final List<Seen> seen = new ArrayList<>();

	private final List<Freed> freed = new ArrayList<>();

	private long sequence;

	private long heartbeatSentNanos;

	CallTarget(String name, long born, String address, Random random) {
		this.name = name;
		this.born = born;
		this.address = address;
		this.random = random;
		this.clock = random.nextBoolean() ? SLOW_CLOCK : 1;
	}

	FleetTarget description() {
		return new FleetTarget(this.name, this.born, "s", this.address, "d", 3, this.stage);
	}

	TargetHeartbeat heartbeat(long now) {
		this.sequence++;
		this.heartbeatSentNanos = now;
		return new TargetHeartbeat(description(), 0, this.sequence,
				new KeyReport(
						this.held.stream()
							.filter((part) -> part.endNanos() > now)
							.map((part) -> new HeldRange(part.keys, part.fence))
							.toList(),
						this.freed.stream()
							.filter((part) -> part.atNanos <= now)
							.map((part) -> new ReleasedRange(part.keys, "token"))
							.toList()));
	}

	// Takes the reply to its latest heartbeat, which lists all keys that it is to hold.
	void replyReceived(long answered, LeaseRenewal renewal, long now, OwnershipCheck check) {
		if (!this.alive || answered != this.sequence || now - this.heartbeatSentNanos > REPLY_TIMEOUT_NANOS) {
			return;
		}
		this.freed.removeIf((part) -> part.atNanos <= this.heartbeatSentNanos);
		long until = this.heartbeatSentNanos + (long) (renewal.holdMillis() * MS * this.clock);
		List<Part> left = this.held.stream().filter(Part::granted).toList();
		this.held.removeAll(left);
		List<GrantedRange> accepted = renewal.ranges()
			.stream()
			.filter((row) -> this.seen.stream()
				.noneMatch((other) -> other.keys.overlaps(row.keys()) && other.fence > row.fence()))
			.toList();
		accepted.forEach((row) -> {
			if (until > now) {
				check.accepted(this, row.keys(), row.fence(), now);
			}
			see(row.keys(), row.fence());
			take(row.keys());
			this.held.add(new Part(row.keys(), row.fence(), until, Long.MAX_VALUE));
		});
		left.stream()
			.filter((part) -> part.untilNanos > now)
			.flatMap((part) -> without(part.keys, accepted).map(part::with))
			.forEach((part) -> {
				Part ending = part.endingAt(now + this.random.nextInt(MAX_WORK_MILLIS) * MS);
				this.held.add(ending);
				if (ending.workEndNanos < ending.untilNanos) {
					this.freed.add(new Freed(ending.keys, ending.workEndNanos));
				}
			});
	}

	private static Stream<KeyRange> without(KeyRange keys, List<GrantedRange> rows) {
		List<KeyRange> parts = List.of(keys);
		for (GrantedRange row : rows) {
			parts = parts.stream().flatMap((part) -> outside(part, row.keys())).toList();
		}
		return parts.stream();
	}

	private static Stream<KeyRange> outside(KeyRange keys, KeyRange removed) {
		if (!keys.overlaps(removed)) {
			return Stream.of(keys);
		}
		return Stream.of(new KeyRange(keys.first(), removed.first() - 1), new KeyRange(removed.last() + 1, keys.last()))
			.filter((part) -> part.first() <= part.last());
	}

	void drain() {
		this.stage = Stage.DRAINING;
	}

	boolean reachable(boolean byRelay) {
		return byRelay ? !this.cutFromEntries : !this.cutFromControl;
	}

	// Carries out a grant that arrived before. One whose time has ended gives no keys.
	GrantOutcome grant(KeyRange keys, long fence, long arrivedNanos, long now, OwnershipCheck check) {
		if (this.seen.stream().anyMatch((other) -> other.keys.overlaps(keys) && other.fence > fence)) {
			return GrantOutcome.HIGHER_FENCE_SEEN;
		}
		long until = arrivedNanos + (long) (GRANT_NANOS * this.clock);
		if (until > now) {
			check.accepted(this, keys, fence, now);
			see(keys, fence);
			List<Part> longer = this.held.stream()
				.filter((part) -> part.keys.overlaps(keys) && part.fence == fence && part.granted()
						&& part.untilNanos > until)
				.map((part) -> part.with(intersection(part.keys, keys)))
				.toList();
			take(keys);
			this.held.add(new Part(keys, fence, until, Long.MAX_VALUE));
			this.held.addAll(longer);
		}
		else {
			check.acceptedTooLate(this, keys, fence);
		}
		return GrantOutcome.CONFIRMED;
	}

	// Carries out a release and returns when the work on the keys ends.
	long release(KeyRange keys, long fence, long now) {
		see(keys, fence);
		int work = this.random.nextInt((this.random.nextInt(8) == 0) ? MAX_LONG_WORK_MILLIS : MAX_WORK_MILLIS);
		take(keys).forEach((part) -> this.held.add(part.endingAt(now + work * MS)));
		return this.held.stream()
			.filter((part) -> part.keys.overlaps(keys) && !part.granted())
			.mapToLong(Part::endNanos)
			.reduce(now, Math::max);
	}

	// Returns the ranges that this target holds or still works on.
	Stream<KeyRange> held(long now) {
		return this.held.stream().filter((part) -> this.alive && part.endNanos() > now).map(Part::keys);
	}

	// Returns the ranges on which this target begins requests.
	Stream<KeyRange> served(long now) {
		return this.held.stream()
			.filter((part) -> this.alive && part.granted() && part.untilNanos > now)
			.map(Part::keys);
	}

	private void see(KeyRange keys, long fence) {
		this.seen.removeIf((other) -> other.fence <= fence && intersection(other.keys, keys).equals(other.keys));
		this.seen.add(new Seen(keys, fence));
	}

	// Removes the keys from those held and returns the removed parts.
	private List<Part> take(KeyRange keys) {
		List<Part> overlapping = this.held.stream().filter((part) -> part.keys.overlaps(keys)).toList();
		this.held.removeAll(overlapping);
		overlapping.forEach((part) -> {
			if (part.keys.first() < keys.first()) {
				this.held.add(part.with(new KeyRange(part.keys.first(), keys.first() - 1)));
			}
			if (part.keys.last() > keys.last()) {
				this.held.add(part.with(new KeyRange(keys.last() + 1, part.keys.last())));
			}
		});
		return overlapping.stream().map((part) -> part.with(intersection(part.keys, keys))).toList();
	}

	static KeyRange intersection(KeyRange one, KeyRange other) {
		return new KeyRange(Math.max(one.first(), other.first()), Math.min(one.last(), other.last()));
	}

	private record Seen(KeyRange keys, long fence) {
	}

	// Keys that the reply to a heartbeat took away, with the end of the work on them.
	private record Freed(KeyRange keys, long atNanos) {
	}

	private record Part(KeyRange keys, long fence, long untilNanos, long workEndNanos) {

		boolean granted() {
			return this.workEndNanos == Long.MAX_VALUE;
		}

		long endNanos() {
			return Math.min(this.untilNanos, this.workEndNanos);
		}

		Part with(KeyRange part) {
			return new Part(part, this.fence, this.untilNanos, this.workEndNanos);
		}

		Part endingAt(long nanos) {
			return new Part(this.keys, this.fence, this.untilNanos, Math.min(this.workEndNanos, nanos));
		}

	}

}

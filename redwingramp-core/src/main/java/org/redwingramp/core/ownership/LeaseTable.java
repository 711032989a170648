package org.redwingramp.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The leases of all ranges as the control leader knows them. It refines the replicated
 * assignment: a range that is partly on the move is split into several leases. Invariant:
 * leases don't overlap, and each lies inside an assigned range with the same owner and
 * fence. Not thread safe.
 */
public final class LeaseTable {

	private final LeaseTiming timing;

	private final Map<String, TreeMap<Integer, RangeLease>> byService = new HashMap<>();

	private final Map<String, String> handovers = new HashMap<>();

	private final List<Embargo> embargoes = new ArrayList<>();

	private RangeLease.Phase phaseOfNew = RangeLease.Phase.TO_GRANT;

	/**
	 * Creates an empty table.
	 * @param timing the timing
	 */
	public LeaseTable(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Takes over the assignments found at the start of a leadership. A former leader may
	 * have renewed each of them until now, so they are held until a whole lease is over.
	 * @param service the service
	 * @param keys the assignment
	 * @param now the monotonic time in nanoseconds
	 */
	public void adopt(String service, KeyMap keys, long now) {
		this.phaseOfNew = RangeLease.Phase.HELD;
		follow(service, keys, now);
		this.phaseOfNew = RangeLease.Phase.TO_GRANT;
	}

	/**
	 * Keeps the ranges of an owner from others until its leases have ended. A target that
	 * started again under its name may have taken a grant meant for its former life.
	 * @param owner the former life
	 * @param now the monotonic time in nanoseconds
	 */
	public void embargo(Owner owner, long now) {
		all().filter((lease) -> lease.range().owner().equals(owner) && !free(lease, now))
			.forEach((lease) -> this.embargoes
				.add(new Embargo(lease.service(), lease.range().keys(), lease.endNanos())));
	}

	/**
	 * Keeps the ranges without an owner from all until any lease has ended. A new leader
	 * doesn't know who held them last.
	 * @param service the service
	 * @param gaps the ranges
	 * @param now the monotonic time in nanoseconds
	 */
	public void embargo(String service, List<KeyRange> gaps, long now) {
		gaps.forEach((keys) -> this.embargoes.add(new Embargo(service, keys, this.timing.endOf(now))));
	}

	/**
	 * Returns whether a range without an owner may get one.
	 * @param service the service
	 * @param keys the range
	 * @param now the monotonic time in nanoseconds
	 * @return whether no former owner can hold it
	 */
	public boolean free(String service, KeyRange keys, long now) {
		this.embargoes.removeIf((embargo) -> now > embargo.endNanos());
		return this.embargoes.stream()
			.noneMatch((embargo) -> embargo.service().equals(service) && embargo.keys().overlaps(keys));
	}

	/**
	 * Follows a change of the assignment.
	 * @param service the service
	 * @param keys the assignment
	 * @param now the monotonic time in nanoseconds
	 */
	public void follow(String service, KeyMap keys, long now) {
		TreeMap<Integer, RangeLease> leases = this.byService.computeIfAbsent(service, (name) -> new TreeMap<>());
		List<RangeLease> outdated = leases.values().stream().filter((lease) -> !covers(keys, lease.range())).toList();
		outdated.forEach((lease) -> leases.remove(lease.range().keys().first()));
		keys.ranges().forEach((range) -> {
			List<RangeLease> parts = outdated.stream()
				.filter((lease) -> lease.range().owner().equals(range.owner())
						&& lease.range().keys().overlaps(range.keys()))
				.toList();
			if (tile(parts, range.keys())) {
				leases.put(range.keys().first(), RangeLease.refenced(parts, range, now));
			}
		});
		keys.ranges().forEach((range) -> uncovered(leases, range.keys()).forEach((part) -> {
			long end = (this.phaseOfNew == RangeLease.Phase.HELD) ? this.timing.endOf(now) : now;
			RangeLease lease = new RangeLease(service, range.with(part), this.phaseOfNew,
					now - this.timing.renewNanos(), end);
			lease.handover(Optional.ofNullable(this.handovers.remove(handoverKey(service, part))));
			leases.put(part.first(), lease);
		}));
	}

	/**
	 * Returns all leases.
	 * @return the leases
	 */
	public Stream<RangeLease> all() {
		return this.byService.values().stream().map(TreeMap::values).flatMap(Collection::stream);
	}

	/**
	 * Returns the leases of a service in the order of their keys.
	 * @param service the service
	 * @return the leases
	 */
	public List<RangeLease> of(String service) {
		return List.copyOf(this.byService.getOrDefault(service, new TreeMap<>()).values());
	}

	/**
	 * Finds the lease that holds a whole range.
	 * @param service the service
	 * @param keys the range
	 * @return the lease, or empty if the range belongs to several or to none
	 */
	public Optional<RangeLease> find(String service, KeyRange keys) {
		return Optional.ofNullable(this.byService.get(service))
			.map((leases) -> leases.floorEntry(keys.first()))
			.map(Map.Entry::getValue)
			.filter((lease) -> lease.range().keys().last() >= keys.last());
	}

	/**
	 * Returns whether the lease is still the current one of its range.
	 * @param lease the lease
	 * @return whether it is current
	 */
	public boolean current(RangeLease lease) {
		TreeMap<Integer, RangeLease> leases = this.byService.getOrDefault(lease.service(), new TreeMap<>());
		return leases.get(lease.range().keys().first()) == lease;
	}

	/**
	 * Splits a lease, so that a part of it can be moved.
	 * @param lease the lease
	 * @param part the part
	 * @return the lease of the part
	 */
	public RangeLease split(RangeLease lease, KeyRange part) {
		KeyRange whole = lease.range().keys();
		if (whole.equals(part)) {
			return lease;
		}
		TreeMap<Integer, RangeLease> leases = this.byService.get(lease.service());
		leases.remove(whole.first());
		RangeLease moved = lease.part(part);
		leases.put(part.first(), moved);
		if (whole.first() < part.first()) {
			KeyRange before = new KeyRange(whole.first(), part.first() - 1);
			leases.put(before.first(), lease.part(before));
		}
		if (whole.last() > part.last()) {
			KeyRange after = new KeyRange(part.last() + 1, whole.last());
			leases.put(after.first(), lease.part(after));
		}
		return moved;
	}

	/**
	 * Returns the neighbouring ranges of one owner that may become one.
	 * @param service the service
	 * @param ready tells which leases may be joined
	 * @return each run of neighbours as a whole, with its owner
	 */
	public List<OwnedRange> joinable(String service, Predicate<RangeLease> ready) {
		List<OwnedRange> joined = new ArrayList<>();
		OwnedRange run = null;
		int parts = 0;
		for (RangeLease lease : of(service)) {
			OwnedRange next = lease.range();
			boolean neighbour = run != null && ready.test(lease) && run.owner().equals(next.owner())
					&& run.keys().last() + 1 == next.keys().first();
			if (neighbour) {
				parts++;
				run = run.with(new KeyRange(run.keys().first(), next.keys().last()));
				continue;
			}
			addRun(joined, run, parts);
			run = ready.test(lease) ? next : null;
			parts = 1;
		}
		addRun(joined, run, parts);
		return joined;
	}

	private static void addRun(List<OwnedRange> joined, OwnedRange run, int parts) {
		if (run != null && parts > 1) {
			joined.add(run);
		}
	}

	/**
	 * Notes that a grant is sent.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 */
	public void grantSent(RangeLease lease, long now) {
		lease.sent(now, this.timing.endOf(now));
	}

	/**
	 * Notes the answer to a grant.
	 * @param lease the lease
	 * @param outcome the outcome
	 */
	public void grantReturned(RangeLease lease, GrantOutcome outcome) {
		lease.returned();
		if (outcome == GrantOutcome.UNKNOWN) {
			lease.unanswered(lease.lastSentNanos() + LeaseTiming.LATE_GRANT_NANOS);
		}
		if (outcome == GrantOutcome.CONFIRMED) {
			lease.confirmed();
		}
		else if (outcome == GrantOutcome.HIGHER_FENCE_SEEN) {
			lease.refused();
		}
		else if (outcome == GrantOutcome.NOT_SENT) {
			lease.notSent();
		}
	}

	/**
	 * Notes that a release is sent.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 */
	public void releaseSent(RangeLease lease, long now) {
		lease.phase(RangeLease.Phase.RELEASING);
		lease.sent(now, lease.endNanos());
	}

	/**
	 * Notes the answer to a release.
	 * @param lease the lease
	 * @param answered whether the owner answered
	 * @param handover the token for the next owner
	 */
	public void releaseReturned(RangeLease lease, boolean answered, Optional<String> handover) {
		lease.returned();
		if (answered) {
			lease.phase(RangeLease.Phase.RELEASED);
			handover
				.ifPresent((token) -> this.handovers.put(handoverKey(lease.service(), lease.range().keys()), token));
		}
	}

	/**
	 * Returns whether a grant of the lease is due.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 * @return whether it has to be granted or renewed now
	 */
	public boolean grantDue(RangeLease lease, long now) {
		if (lease.callInFlight()) {
			return false;
		}
		return switch (lease.phase()) {
			case TO_GRANT -> now - lease.lastSentNanos() >= this.timing.retryNanos();
			case HELD -> now - lease.lastSentNanos() >= this.timing.renewNanos();
			case RELEASING, RELEASED, REFUSED -> false;
		};
	}

	/**
	 * Returns whether a release that got no answer has to be repeated.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 * @return whether it is due
	 */
	public boolean releaseDue(RangeLease lease, long now) {
		return lease.phase() == RangeLease.Phase.RELEASING && !lease.callInFlight()
				&& now - lease.lastSentNanos() >= this.timing.retryNanos();
	}

	/**
	 * Returns whether the range may get a new owner.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 * @return whether no owner can hold it now
	 */
	public boolean free(RangeLease lease, long now) {
		return lease.phase() == RangeLease.Phase.RELEASED || (now > lease.endNanos() && !lease.callInFlight());
	}

	private static boolean covers(KeyMap keys, OwnedRange lease) {
		return keys.find(lease.keys().first())
			.filter((range) -> range.fence() == lease.fence() && range.owner().equals(lease.owner()))
			.filter((range) -> range.keys().last() >= lease.keys().last())
			.isPresent();
	}

	// Returns whether the leases, which are in order, make up the whole range.
	private static boolean tile(List<RangeLease> parts, KeyRange keys) {
		int next = keys.first();
		for (RangeLease part : parts) {
			if (part.range().keys().first() != next) {
				return false;
			}
			next = part.range().keys().last() + 1;
		}
		return !parts.isEmpty() && next == keys.last() + 1;
	}

	private static List<KeyRange> uncovered(TreeMap<Integer, RangeLease> leases, KeyRange keys) {
		List<KeyRange> parts = new ArrayList<>();
		int next = keys.first();
		for (RangeLease lease : List.copyOf(leases.subMap(keys.first(), true, keys.last(), true).values())) {
			if (lease.range().keys().first() > next) {
				parts.add(new KeyRange(next, lease.range().keys().first() - 1));
			}
			next = lease.range().keys().last() + 1;
		}
		if (next <= keys.last()) {
			parts.add(new KeyRange(next, keys.last()));
		}
		return parts;
	}

	private static String handoverKey(String service, KeyRange keys) {
		return service + " " + keys.first() + " " + keys.last();
	}

	/**
	 * A range that a former owner may still hold.
	 */
	private record Embargo(String service, KeyRange keys, long endNanos) {
	}

}

package org.redwingramp.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The leases of all ranges, as tracked by the control leader. Leases can be smaller than
 * the ranges of the replicated assignment: while a part of a range is being moved, the
 * range is split into several leases. Invariant: leases do not overlap, and each lies
 * within an assigned range with the same owner and fence. Not thread safe.
 */
public final class LeaseTable {

	private final LeaseTiming timing;

	private final Map<String, TreeMap<Integer, RangeLease>> byService = new HashMap<>();

	private final Map<String, Handover> handovers = new HashMap<>();

	private final List<Quarantine> quarantines = new ArrayList<>();

	// When the latest grant of each service that was sent as a call has certainly ended.
	private final Map<String, Long> callGrantEnds = new HashMap<>();

	private RangeLease.Phase initialPhase = RangeLease.Phase.GRANT_PENDING;

	/**
	 * Creates an empty table.
	 * @param timing the timing of grants
	 */
	public LeaseTable(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Adopts the assignment found at the start of a leadership term. The previous leader
	 * may have renewed any lease until now, and the renewal may still arrive, so each
	 * range counts as held for the full duration of a lease from the latest arrival.
	 * @param service the service
	 * @param keys the assignment
	 * @param byCall whether the renewal may have been sent as a call
	 * @param now the monotonic time in nanoseconds
	 */
	public void adopt(String service, KeyMap keys, boolean byCall, long now) {
		this.initialPhase = RangeLease.Phase.HELD;
		applyAssignment(service, keys, now);
		this.initialPhase = RangeLease.Phase.GRANT_PENDING;
		if (byCall) {
			of(service).forEach((lease) -> lease.callAdopted(now + LeaseTiming.MAX_ARRIVAL_NANOS));
			this.callGrantEnds.put(service, endOfLatestGrant(now));
		}
	}

	/**
	 * Quarantines the range of an owner that isn't known any more until its lease has
	 * ended. A target that restarted under the same name may have accepted a grant meant
	 * for its previous incarnation.
	 * @param lease the lease of the owner
	 * @param callsOnly whether the owner can hold the range only by a grant that was sent
	 * as a call
	 * @param now the monotonic time in nanoseconds
	 */
	public void quarantine(RangeLease lease, boolean callsOnly, long now) {
		if (!assignable(lease, now)) {
			long end = callsOnly ? lease.callGrantEndNanos() : lease.endNanos();
			this.quarantines.add(new Quarantine(lease.service(), lease.range().keys(), end));
		}
	}

	/**
	 * Quarantines ranges without an owner until every lease granted before now has ended.
	 * A new leader does not know who held them last.
	 * @param service the service
	 * @param gaps the ranges without an owner
	 * @param now the monotonic time in nanoseconds
	 */
	public void quarantine(String service, List<KeyRange> gaps, long now) {
		gaps.forEach((keys) -> this.quarantines.add(new Quarantine(service, keys, endOfLatestGrant(now))));
	}

	/**
	 * Returns whether a range without an owner may be assigned to a target.
	 * @param service the service
	 * @param keys the range
	 * @param now the monotonic time in nanoseconds
	 * @return whether no previous owner can still hold a part of the range
	 */
	public boolean assignable(String service, KeyRange keys, long now) {
		this.quarantines.removeIf((quarantine) -> now > quarantine.endNanos());
		return this.quarantines.stream()
			.noneMatch((quarantine) -> quarantine.service().equals(service) && quarantine.keys().overlaps(keys));
	}

	/**
	 * Updates the leases of a service after a change of its assignment.
	 * @param service the service
	 * @param keys the new assignment
	 * @param now the monotonic time in nanoseconds
	 */
	public void applyAssignment(String service, KeyMap keys, long now) {
		TreeMap<Integer, RangeLease> leases = this.byService.computeIfAbsent(service, (name) -> new TreeMap<>());
		List<RangeLease> outdated = leases.values().stream().filter((lease) -> !covers(keys, lease.range())).toList();
		outdated.forEach((lease) -> leases.remove(lease.range().keys().first()));
		keys.ranges().forEach((range) -> uncovered(leases, range.keys()).forEach((part) -> {
			List<RangeLease> held = heldParts(outdated, range.with(part));
			if (coverExactly(held, part)) {
				leases.putAll(continued(held, range.with(part)));
			}
		}));
		keys.ranges().forEach((range) -> uncovered(leases, range.keys()).forEach((part) -> {
			long end = (this.initialPhase == RangeLease.Phase.HELD) ? endOfLatestGrant(now) : now;
			RangeLease lease = new RangeLease(service, range.with(part), this.initialPhase,
					now - this.timing.renewNanos(), end);
			Optional.ofNullable(this.handovers.remove(handoverKey(service, part)))
				.ifPresent((handover) -> handover.passTo(lease));
			outdated.stream()
				.filter((former) -> former.range().keys().overlaps(part))
				.forEach((former) -> lease.movedSince(former.releasedSinceNanos()));
			leases.put(part.first(), lease);
		}));
	}

	// Returns the parts of former leases that the owner of a range may hold in it.
	private static List<RangeLease> heldParts(List<RangeLease> former, OwnedRange range) {
		return former.stream()
			.filter((lease) -> lease.range().owner().equals(range.owner()))
			.filter((lease) -> lease.range().keys().overlaps(range.keys()))
			.map((lease) -> partOf(lease, lease.range().keys().intersection(range.keys())))
			.toList();
	}

	private static RangeLease partOf(RangeLease lease, KeyRange keys) {
		return lease.range().keys().equals(keys) ? lease : lease.part(keys);
	}

	// Returns the leases of a range that its owner held before, by their first keys. A
	// range whose fence hasn't changed keeps its leases.
	private static Map<Integer, RangeLease> continued(List<RangeLease> parts, OwnedRange range) {
		boolean sameFence = parts.stream().allMatch((part) -> part.range().fence() == range.fence());
		return (sameFence ? parts : List.of(RangeLease.mergedWithNewFence(parts, range))).stream()
			.collect(Collectors.toMap((lease) -> lease.range().keys().first(), (lease) -> lease));
	}

	/**
	 * Returns all leases.
	 * @return the leases
	 */
	public Stream<RangeLease> all() {
		return this.byService.values().stream().map(TreeMap::values).flatMap(Collection::stream);
	}

	/**
	 * Returns figures about all leases.
	 * @param now the monotonic time in nanoseconds
	 * @return the figures
	 */
	public LeaseSummary summary(long now) {
		return LeaseSummary.of(all().toList(), now);
	}

	/**
	 * Returns the time after which no owner holds keys any more, unless leases are
	 * renewed.
	 * @param now the monotonic time in nanoseconds
	 * @return the monotonic time in nanoseconds, now if no keys are held
	 */
	public long lastEndNanos(long now) {
		return LongStream
			.concat(all().mapToLong(RangeLease::endNanos), this.quarantines.stream().mapToLong(Quarantine::endNanos))
			.reduce(now, Math::max);
	}

	/**
	 * Ends the move of a range whose owner serves the keys now.
	 * @param lease the lease
	 * @return the time since which the keys had no owner because a former one was told to
	 * release them, as monotonic time in nanoseconds; empty if there was no move or its
	 * end was noted before
	 */
	public Optional<Long> endMove(RangeLease lease) {
		return lease.takeMovedSince();
	}

	/**
	 * Returns the leases of a service in key order.
	 * @param service the service
	 * @return the leases
	 */
	public List<RangeLease> of(String service) {
		return List.copyOf(this.byService.getOrDefault(service, new TreeMap<>()).values());
	}

	/**
	 * Finds the lease that covers a whole range.
	 * @param service the service
	 * @param keys the range
	 * @return the lease, or empty if no single lease covers the range
	 */
	public Optional<RangeLease> find(String service, KeyRange keys) {
		return Optional.ofNullable(this.byService.get(service))
			.map((leases) -> leases.floorEntry(keys.first()))
			.map(Map.Entry::getValue)
			.filter((lease) -> lease.range().keys().last() >= keys.last());
	}

	/**
	 * Returns whether a lease is still part of the table. A lease is replaced when it is
	 * split or its range gets a new owner or fence.
	 * @param lease the lease
	 * @return whether the table still contains the lease
	 */
	public boolean current(RangeLease lease) {
		TreeMap<Integer, RangeLease> leases = this.byService.getOrDefault(lease.service(), new TreeMap<>());
		return leases.get(lease.range().keys().first()) == lease;
	}

	/**
	 * Splits a lease so that a part of its range can be moved.
	 * @param lease the lease
	 * @param part the range to be moved, which the lease must cover
	 * @return the lease of that part
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
	 * Returns the ranges that result from merging adjacent ranges of the same owner.
	 * @param service the service
	 * @param ready selects the leases that may be merged
	 * @return the merged ranges, each made up of at least two leases
	 */
	public List<OwnedRange> mergeable(String service, Predicate<RangeLease> ready) {
		List<OwnedRange> merged = new ArrayList<>();
		OwnedRange run = null;
		int parts = 0;
		for (RangeLease lease : of(service)) {
			OwnedRange next = lease.range();
			boolean adjacent = run != null && ready.test(lease) && run.owner().equals(next.owner())
					&& run.keys().last() + 1 == next.keys().first();
			if (adjacent) {
				parts++;
				run = run.with(new KeyRange(run.keys().first(), next.keys().last()));
				continue;
			}
			addIfMerged(merged, run, parts);
			run = ready.test(lease) ? next : null;
			parts = 1;
		}
		addIfMerged(merged, run, parts);
		return merged;
	}

	private static void addIfMerged(List<OwnedRange> merged, OwnedRange run, int parts) {
		if (run != null && parts > 1) {
			merged.add(run);
		}
	}

	/**
	 * Records that a grant was sent.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 */
	public void grantSent(RangeLease lease, long now) {
		lease.grantCallSent(now, now + LeaseTiming.MAX_ARRIVAL_NANOS, endOfLatestGrant(now));
		this.callGrantEnds.put(lease.service(), endOfLatestGrant(now));
	}

	/**
	 * Returns whether all grants of a service that were sent as calls have certainly
	 * ended, those of former leaders too.
	 * @param service the service
	 * @param now the monotonic time in nanoseconds
	 * @return whether no target can hold keys by one any more
	 */
	public boolean callGrantsEnded(String service, long now) {
		return now > this.callGrantEnds.getOrDefault(service, now - 1);
	}

	/**
	 * Records the outcome of a grant. The lease counts from now if the target may have
	 * received the grant, since it may have arrived at any time until now.
	 * @param lease the lease
	 * @param outcome the outcome
	 * @param now the monotonic time in nanoseconds
	 */
	public void grantReturned(RangeLease lease, GrantOutcome outcome, long now) {
		lease.callReturned();
		lease.outcome(outcome);
		boolean received = outcome == GrantOutcome.CONFIRMED || outcome == GrantOutcome.UNKNOWN;
		long latestArrival = Math.min(now, lease.lastSentNanos() + LeaseTiming.MAX_ARRIVAL_NANOS);
		lease.grantArrived(received ? this.timing.endOf(latestArrival) : lease.previousEndNanos());
		if (outcome == GrantOutcome.CONFIRMED) {
			lease.grantConfirmed();
		}
		else if (outcome == GrantOutcome.HIGHER_FENCE_SEEN) {
			lease.grantRefused();
		}
	}

	private long endOfLatestGrant(long now) {
		return this.timing.endOf(now + LeaseTiming.MAX_ARRIVAL_NANOS);
	}

	/**
	 * Records that a release was sent.
	 * @param lease the lease
	 * @param fence the fence that the owner is shown, after which it refuses late grants
	 * @param now the monotonic time in nanoseconds
	 */
	public void releaseSent(RangeLease lease, long fence, long now) {
		lease.releaseCallSent(fence, now);
		lease.phase(RangeLease.Phase.RELEASING);
	}

	/**
	 * Records the outcome of a release.
	 * @param lease the lease
	 * @param answered whether the owner confirmed the release
	 * @param handover the handover token for the next owner
	 * @param now the monotonic time in nanoseconds
	 */
	public void releaseReturned(RangeLease lease, boolean answered, Optional<String> handover, long now) {
		lease.callReturned();
		if (answered) {
			lease.releaseCallConfirmed(now);
			released(lease, handover);
		}
	}

	private void released(RangeLease lease, Optional<String> handover) {
		lease.phase(RangeLease.Phase.RELEASED);
		this.handovers.put(handoverKey(lease.service(), lease.range().keys()),
				new Handover(handover, lease.lastSentNanos()));
	}

	/**
	 * Requests that the owner of a lease releases it as soon as that is possible: in the
	 * reply to one of its next heartbeats, or once a higher fence is committed.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 */
	public void requestRelease(RangeLease lease, long now) {
		lease.requestRelease(now);
	}

	/**
	 * Records that a range is left out of the reply to a heartbeat, so that its owner
	 * releases it.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 */
	public void releaseOffered(RangeLease lease, long now) {
		lease.phase(RangeLease.Phase.RELEASING);
		lease.releaseSent(now);
	}

	/**
	 * Records that a range is granted or renewed in the reply to a heartbeat. The target
	 * counts the duration from when it sent the heartbeat, so the lease ends no later
	 * than if it were counted from now.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 */
	public void offered(RangeLease lease, long now) {
		lease.offered(now, this.timing.endOf(now));
	}

	/**
	 * Records what a heartbeat of the owner says about a lease. A released range counts
	 * only while the lease is being released: the report may repeat an earlier release of
	 * the same keys, and a lease that is granted again is no longer being released.
	 * @param lease the lease
	 * @param report the ranges that the owner reported
	 * @return whether the owner has released the range
	 */
	public boolean reported(RangeLease lease, KeyReport report) {
		if (report.holds(lease.range().keys(), lease.range().fence())) {
			lease.reported();
		}
		boolean released = lease.phase() == RangeLease.Phase.RELEASING && report.releases(lease.range().keys());
		if (released) {
			released(lease, handoverFrom(lease, report));
		}
		return released;
	}

	private static Optional<String> handoverFrom(RangeLease lease, KeyReport report) {
		return report.released()
			.stream()
			.filter((released) -> released.keys().overlaps(lease.range().keys()))
			.map(KeyReport.ReleasedRange::handover)
			.filter((token) -> !token.isEmpty())
			.findFirst();
	}

	/**
	 * Returns whether a grant or renewal of a lease must be sent now.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 * @return whether a grant is due
	 */
	public boolean grantDue(RangeLease lease, long now) {
		if (lease.callInFlight()) {
			return false;
		}
		return switch (lease.phase()) {
			case GRANT_PENDING -> now - lease.lastSentNanos() >= this.timing.retryNanos();
			case HELD -> now - lease.lastSentNanos() >= (unanswered(lease) ? this.timing.retryNanos()
					: this.timing.renewNanos());
			case RELEASING, RELEASED, REFUSED -> false;
		};
	}

	private static boolean unanswered(RangeLease lease) {
		return lease.lastOutcome().filter(GrantOutcome.UNKNOWN::equals).isPresent();
	}

	/**
	 * Returns whether a release that received no reply must be repeated now.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 * @return whether the release is due
	 */
	public boolean releaseDue(RangeLease lease, long now) {
		return lease.phase() == RangeLease.Phase.RELEASING && !lease.callInFlight()
				&& now - lease.lastSentNanos() >= this.timing.retryNanos();
	}

	/**
	 * Returns whether the range of a lease may be assigned to a new owner.
	 * @param lease the lease
	 * @param now the monotonic time in nanoseconds
	 * @return whether the owner has released the range and refuses late grants, or the
	 * lease has ended and no call is in flight
	 */
	public boolean assignable(RangeLease lease, long now) {
		boolean ended = now > lease.endNanos() && !lease.callInFlight();
		return ended || (lease.phase() == RangeLease.Phase.RELEASED && now >= lease.callGrantEndNanos());
	}

	// Returns whether the assignment contains the range with the same owner and fence.
	private static boolean covers(KeyMap keys, OwnedRange leased) {
		return keys.find(leased.keys().first())
			.filter((range) -> range.fence() == leased.fence() && range.owner().equals(leased.owner()))
			.filter((range) -> range.keys().last() >= leased.keys().last())
			.isPresent();
	}

	// Returns whether the leases, which are in key order, cover exactly the range.
	private static boolean coverExactly(List<RangeLease> parts, KeyRange keys) {
		int next = keys.first();
		for (RangeLease part : parts) {
			if (part.range().keys().first() != next) {
				return false;
			}
			next = part.range().keys().last() + 1;
		}
		return !parts.isEmpty() && next == keys.last() + 1;
	}

	// Returns the parts of the range for which there is no lease.
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
	 * What the next owner of a released range needs.
	 *
	 * @param token the handover token, if the previous owner issued one
	 * @param ownerlessSinceNanos when the previous owner was told to stop serving
	 */
	private record Handover(Optional<String> token, long ownerlessSinceNanos) {

		void passTo(RangeLease lease) {
			lease.handover(this.token);
			lease.ownerlessSince(this.ownerlessSinceNanos);
		}

	}

	/**
	 * A range that a previous owner may still hold and that must not be assigned to a
	 * target until the given time.
	 */
	private record Quarantine(String service, KeyRange keys, long endNanos) {
	}

}

package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.redwingramp.core.fleet.FleetCommand.AssignKeys;
import org.redwingramp.core.fleet.FleetCommand.Move;
import org.redwingramp.core.ownership.KeyLoad;
import org.redwingramp.core.ownership.KeyPlanner;
import org.redwingramp.core.ownership.KeyPlanner.Bin;
import org.redwingramp.core.ownership.KeyPlanner.RangeMove;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.LeaseTable;
import org.redwingramp.core.ownership.OwnedRange;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.ownership.RangeLease.Phase;

/**
 * Decides which target owns which keys: it assigns ranges that nobody can hold any more,
 * and moves ranges between targets to balance their load. Proposes its commands through
 * the {@link FleetController}. Invariants: a range is assigned to a new owner only while
 * its lease can't be held; only targets that may receive keys at the time of the decision
 * are chosen; a range that is being moved counts towards its receiver, and goes to it
 * once it is released if the receiver may still have it. Not thread safe.
 */
final class KeyAssigner {

	/**
	 * Limits the number of ranges that are being moved: load balancing starts no moves
	 * while this many leases or more aren't serving.
	 */
	private static final int MAX_UNSERVED_LEASES = 12;

	/**
	 * The first keys of a service are assigned once no target has joined or changed for
	 * this long. Otherwise the first targets to join would receive all keys. Longer than
	 * a heartbeat interval.
	 */
	private static final long INITIAL_ASSIGNMENT_DELAY_NANOS = 2_000_000_000L;

	/**
	 * Minimum interval between two moves of a range. Requests for the range wait during a
	 * move, and the effect of the previous move must become visible in the load first.
	 */
	private static final long MIN_MOVE_INTERVAL_NANOS = 1_500_000_000L;

	/** Maximum number of groups of adjacent ranges that one command merges. */
	private static final int MAX_MERGES_PER_COMMAND = 16;

	private final FleetController controller;

	private final FleetState state;

	private final LeaseTable leases;

	private final TargetHealths healths;

	private final FleetObservations observations;

	private final FleetOutput output;

	private final GuardedWork guard;

	private final KeyPlanner planner = new KeyPlanner();

	private final Map<String, KeyLoad> loadByService = new HashMap<>();

	private final Map<RangeLease, Owner> plannedReceivers = new HashMap<>();

	private long lastTargetChangeNanos;

	KeyAssigner(FleetController controller, FleetState state, LeaseTable leases, TargetHealths healths,
			FleetObservations observations, FleetOutput output) {
		this.controller = controller;
		this.state = state;
		this.leases = leases;
		this.healths = healths;
		this.observations = observations;
		this.output = output;
		this.guard = new GuardedWork(output);
	}

	// Counts the time for which requests for a key have used its owner.
	void keyUsed(String service, int key, double millis, long now) {
		loadOf(service, now).add(key, millis);
	}

	void decayLoads(long now) {
		this.loadByService.values().forEach((load) -> load.decay(now));
	}

	// Takes note that a target has joined or its stage has changed.
	void targetChanged(long now) {
		this.lastTargetChangeNanos = now;
	}

	Stream<RangeLease> leasesPlannedFor(Owner receiver) {
		return this.plannedReceivers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(receiver))
			.map(Map.Entry::getKey);
	}

	Optional<Owner> plannedReceiver(RangeLease lease) {
		return Optional.ofNullable(this.plannedReceivers.get(lease));
	}

	// A planned move survives a new fence of the range, which its release may need.
	void followPlannedMoves() {
		Map<RangeLease, Owner> current = new HashMap<>();
		this.plannedReceivers.forEach((lease, receiver) -> {
			if (this.leases.current(lease)) {
				current.put(lease, receiver);
				return;
			}
			this.leases.find(lease.service(), lease.range().keys())
				.filter((next) -> next.releaseRequested() && next.range().owner().equals(lease.range().owner()))
				.ifPresent((next) -> current.put(next, receiver));
		});
		this.plannedReceivers.clear();
		this.plannedReceivers.putAll(current);
	}

	// Assigns the ranges that no target can hold any more to targets that may receive
	// keys.
	void assignUnownedRanges(String service, long now) {
		List<RangeLease> free = this.leases.of(service)
			.stream()
			.filter((lease) -> this.leases.assignable(lease, now) && !willBeRenewed(lease, now))
			.toList();
		List<KeyRange> gaps = this.state.keys(service)
			.gaps()
			.stream()
			.filter((gap) -> this.leases.assignable(service, gap, now))
			.toList();
		if ((free.isEmpty() && gaps.isEmpty()) || this.controller.assignmentPending(service)) {
			return;
		}
		List<Bin> bins = bins(service, now, free);
		boolean awaitingTargets = this.state.keys(service).ranges().isEmpty()
				&& now - this.lastTargetChangeNanos < INITIAL_ASSIGNMENT_DELAY_NANOS;
		if (bins.isEmpty() || awaitingTargets) {
			return;
		}
		Set<Owner> receiving = bins.stream().map(Bin::owner).collect(Collectors.toSet());
		List<Move> moves = new ArrayList<>();
		List<KeyRange> unassigned = new ArrayList<>(gaps);
		free.forEach((lease) -> {
			this.output.decision("free", "service", service, "keys", FleetController.format(lease.range().keys()),
					"target", lease.range().owner().target(), "fence", lease.range().fence(), "phase", lease.phase(),
					"last-grant", FleetController.lastOutcome(lease), "unanswered-for",
					FleetController.unansweredMillis(lease, now), "lease-left", FleetController.leftMillis(lease, now));
			Owner receiver = this.plannedReceivers.get(lease);
			if (receiver != null && receiving.contains(receiver)) {
				moves.add(new Move(lease.range().keys(), receiver));
			}
			else {
				unassigned.add(lease.range().keys());
			}
		});
		this.planner.assign(sortedByFirstKey(unassigned), bins, loadOf(service, now))
			.forEach((assignment) -> moves.add(new Move(assignment.keys(), assignment.owner())));
		moves.forEach((move) -> {
			TargetHealth health = this.healths.of(move.owner(), now).orElseThrow();
			this.output.decision("assign", "service", service, "keys", FleetController.format(move.keys()), "target",
					move.owner().target(), "slowness", health.slowness(), "cold-assumed", health.coldAssumed());
		});
		this.controller.proposeIfNotPending(new AssignKeys(service, moves));
	}

	// Returns whether an unreleased lease is renewed although it may have expired,
	// because its owner can be reached again.
	private boolean willBeRenewed(RangeLease lease, long now) {
		return lease.granted() && this.state.target(lease.range().owner())
			.filter(this.controller::mayKeepKeys)
			.filter((target) -> reachable(lease.service(), target, now) && !this.healths.of(target, now).lost(now))
			.isPresent();
	}

	private static List<KeyRange> sortedByFirstKey(Collection<KeyRange> parts) {
		return parts.stream().sorted((left, right) -> Integer.compare(left.first(), right.first())).toList();
	}

	// Starts moves of ranges that even out the load or bring adjacent ranges together.
	void balance(String service, long now) {
		List<RangeLease> all = this.leases.of(service);
		if (all.stream()
			.filter((lease) -> !lease.serving() || lease.releaseRequested())
			.count() >= MAX_UNSERVED_LEASES) {
			return;
		}
		List<OwnedRange> movable = all.stream()
			.filter((lease) -> lease.serving() && !lease.releaseRequested() && !lease.callInFlight()
					&& ownerReachable(lease, now))
			.filter((lease) -> now - lease.assignedNanos() >= MIN_MOVE_INTERVAL_NANOS)
			.filter((lease) -> lease.phase() == Phase.HELD && !this.controller.ownerChangePending(lease))
			.map(RangeLease::range)
			.toList();
		List<Bin> bins = bins(service, now, List.of());
		List<RangeMove> rangeMoves = new ArrayList<>(this.planner.balance(bins, movable, loadOf(service, now)));
		Set<Owner> moving = rangeMoves.stream()
			.flatMap((rangeMove) -> Stream.of(rangeMove.owner(), rangeMove.receiver()))
			.collect(Collectors.toSet());
		rangeMoves.addAll(this.planner.mergeAdjacent(bins, all.stream().map(RangeLease::range).toList(),
				Set.copyOf(movable), moving, loadOf(service, now)));
		rangeMoves.forEach((rangeMove) -> startMove(service, rangeMove, now));
	}

	// Merges adjacent ranges of one owner under a common fence, so that a single call
	// renews them.
	void mergeAdjacentRanges(String service, long now) {
		if (this.controller.assignmentPending(service)) {
			return;
		}
		List<Move> merged = this.leases
			.mergeable(service,
					(lease) -> lease.phase() == Phase.HELD && lease.serving() && !lease.releaseRequested()
							&& ownerReachable(lease, now))
			.stream()
			.limit(MAX_MERGES_PER_COMMAND)
			.map((range) -> new Move(range.keys(), range.owner()))
			.toList();
		if (!merged.isEmpty()) {
			merged.forEach((move) -> this.output.decision("join", "service", service, "keys",
					FleetController.format(move.keys()), "target", move.owner().target()));
			this.controller.proposeIfNotPending(new AssignKeys(service, merged));
		}
	}

	private boolean ownerReachable(RangeLease lease, long now) {
		return this.state.target(lease.range().owner())
			.filter((target) -> reachable(lease.service(), target, now))
			.isPresent();
	}

	private boolean reachable(String service, FleetTarget target, long now) {
		return this.controller.delivery(service).reachable(this.healths.of(target, now), now);
	}

	private void startMove(String service, RangeMove rangeMove, long now) {
		Optional<RangeLease> lease = this.leases.find(service, rangeMove.keys())
			.filter((candidate) -> candidate.range().owner().equals(rangeMove.owner()));
		Optional<FleetTarget> owner = this.state.target(rangeMove.owner());
		if (lease.isEmpty() || owner.isEmpty()) {
			return;
		}
		RangeLease moved = this.leases.split(lease.get(), rangeMove.keys());
		this.plannedReceivers.put(moved, rangeMove.receiver());
		this.output.decision("move", "service", service, "keys", FleetController.format(rangeMove.keys()), "target",
				rangeMove.owner().target(), "receiver", rangeMove.receiver().target(), "slowness",
				this.healths.of(owner.get(), now).slowness());
		this.controller.delivery(service).release(moved, owner.get(), now);
	}

	private List<Bin> bins(String service, long now, List<RangeLease> without) {
		KeyLoad load = loadOf(service, now);
		Map<String, Long> latestStarts = this.state.targets()
			.stream()
			.collect(Collectors.toMap(FleetTarget::address, FleetTarget::born, Math::max));
		return this.state.targets()
			.stream()
			.filter((target) -> target.service().equals(service) && target.born() == latestStarts.get(target.address()))
			.flatMap((target) -> this.guard.call("weigh target", target::name, () -> bin(target, load, without, now))
				.stream()
				.flatMap(Optional::stream))
			.toList();
	}

	private Optional<Bin> bin(FleetTarget target, KeyLoad load, List<RangeLease> without, long now) {
		if (!mayReceiveKeys(target, now)) {
			return Optional.empty();
		}
		return Optional.of(new Bin(target.owner(), this.observations.capacity(target, now),
				rangesOf(target.service(), target.owner(), without), load));
	}

	// Returns the ranges of an owner. A range that is being moved counts towards its
	// receiver.
	private Stream<KeyRange> rangesOf(String service, Owner owner, List<RangeLease> without) {
		return this.leases.of(service)
			.stream()
			.filter((lease) -> !without.contains(lease))
			.filter((lease) -> this.plannedReceivers.getOrDefault(lease, lease.range().owner()).equals(owner))
			.map((lease) -> lease.range().keys());
	}

	private boolean mayReceiveKeys(FleetTarget target, long now) {
		TargetHealth health = this.healths.of(target, now);
		return this.controller.mayKeepKeys(target) && (!health.cold(now) || wasWarm(target, health))
				&& !health.refusesKeys(now) && reachable(target.service(), target, now) && !health.lost(now);
	}

	// Returns whether a target that is only assumed to be cold was warm at an earlier
	// leader, since it owns keys, which are assigned to warm targets only, and nothing
	// else
	// is recorded.
	private boolean wasWarm(FleetTarget target, TargetHealth health) {
		return health.coldAssumed() && !health.coldRecorded()
				&& !this.state.keys(target.service()).rangesOf(target.owner()).isEmpty();
	}

	private KeyLoad loadOf(String service, long now) {
		return this.loadByService.computeIfAbsent(service, (name) -> new KeyLoad(now));
	}

}

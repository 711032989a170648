package org.redwingramp.core.control.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.Command.FencedShard;
import org.redwingramp.core.control.Command.ShardAssignment;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.placement.ChurnBudget;
import org.redwingramp.core.placement.PlacementPolicy;
import org.redwingramp.core.placement.PlacementPolicy.Move;
import org.redwingramp.core.placement.PlacementPolicy.PlacedShard;
import org.redwingramp.core.placement.PlacementPolicy.Reason;
import org.redwingramp.core.placement.PlacementPolicy.TargetCapacity;

/**
 * Plans which target owns each shard of one service. Not thread safe.
 *
 * <p>
 * Invariants: a shard whose owner accepts no shards is released whether or not another
 * target can accept it, since that owner must get no new work. Moves that only improve
 * the balance stay within the churn budget.
 */
final class ShardPlanner {

	/**
	 * Requests per second added to the load of each shard, so that idle shards are spread
	 * evenly.
	 */
	private static final double BASE_LOAD = 1;

	/**
	 * Maximum number of unowned shards in one plan, which limits the time that it takes.
	 * The remaining shards are placed in the next ticks.
	 */
	private static final int MAX_UNOWNED = 1_024;

	private static final long REBALANCE_INTERVAL_NANOS = 1_000_000_000L;

	private final PlacementPolicy policy;

	private final LoadStatistics loads;

	private final TargetWeights weights;

	private final Map<ShardId, String> destinations = new HashMap<>();

	private long nextRebalance;

	/** The view version at which no shard needed planning, -1 for none. */
	private long completeVersion = -1;

	ShardPlanner(PlacementPolicy policy, LoadStatistics loads, long startedAt) {
		this.policy = policy;
		this.loads = loads;
		this.weights = new TargetWeights(loads, startedAt);
		this.nextRebalance = startedAt + REBALANCE_INTERVAL_NANOS;
	}

	void propose(RecordBody.Service service, Constraints constraints, ControlView view, Proposals proposals, long now) {
		boolean rebalance = now >= this.nextRebalance;
		if (!rebalance && view.version() == this.completeVersion) {
			return;
		}
		Collection<ShardState> shards = view.shards(service.name());
		Map<String, TargetState> targets = view.targets(service.name())
			.stream()
			.collect(Collectors.toMap((target) -> target.spec().name(), (target) -> target));
		this.weights.observe(view, targets.values(), now);
		releaseFromUnavailable(shards, targets, view, proposals);
		long created = view.record(RecordKind.SERVICE, service.name()).map(RecordState::viewVersion).orElse(0L);
		List<ShardState> unowned = shards.stream()
			.filter((shard) -> shard.phase() == ShardPhase.UNOWNED
					&& assignable(shard, created, constraints.grantWatermark()))
			.toList();
		boolean complete = shards.stream().allMatch((shard) -> needsNoPlan(shard, targets, view));
		this.completeVersion = complete ? view.version() : -1;
		if (rebalance) {
			this.nextRebalance = now + REBALANCE_INTERVAL_NANOS;
			removeCompletedMoves(shards);
		}
		if (rebalance || !unowned.isEmpty()) {
			List<PlacedShard> placed = placed(shards, constraints.requiredTargets(), now);
			List<TargetCapacity> capacities = capacities(service, targets.values(), view, now);
			List<Move> moves = this.policy.plan(placed, capacities,
					rebalance ? ChurnBudget.movesPerSecond(placed, capacities) : 0);
			assign(unowned, moves, targets, view, proposals);
			release(moves, view, proposals);
		}
	}

	private List<TargetCapacity> capacities(RecordBody.Service service, Collection<TargetState> targets,
			ControlView view, long now) {
		return targets.stream()
			.filter((target) -> !target.gate().isEmpty() || !view.shardsOf(target.spec().name()).isEmpty())
			.map((target) -> this.weights.capacity(target, service, view, now))
			.toList();
	}

	private void releaseFromUnavailable(Collection<ShardState> shards, Map<String, TargetState> targets,
			ControlView view, Proposals proposals) {
		List<FencedShard> leaving = shards.stream()
			.filter((shard) -> shard.phase() == ShardPhase.OWNED
					&& !TargetWeights.acceptsShards(targets.get(shard.owner()), view))
			.map(ShardPlanner::fencedShard)
			.toList();
		proposals.addBatch(leaving, (shard) -> shard, Command.ReleaseShards::new);
	}

	private static FencedShard fencedShard(ShardState shard) {
		return new FencedShard(shard.id(), shard.fence());
	}

	private void removeCompletedMoves(Collection<ShardState> shards) {
		Map<ShardId, ShardState> notOwned = shards.stream()
			.filter((shard) -> shard.phase() != ShardPhase.OWNED)
			.collect(Collectors.toMap(ShardState::id, (shard) -> shard));
		this.destinations.keySet().retainAll(notOwned.keySet());
	}

	private List<PlacedShard> placed(Collection<ShardState> shards, Map<ShardId, String> requiredTargets, long now) {
		List<PlacedShard> placed = new ArrayList<>();
		int unowned = 0;
		for (ShardState shard : shards) {
			String owner = (shard.phase() == ShardPhase.OWNED) ? shard.owner()
					: this.destinations.getOrDefault(shard.id(), "");
			unowned += owner.isEmpty() ? 1 : 0;
			if (!owner.isEmpty() || (shard.phase() == ShardPhase.UNOWNED && unowned <= MAX_UNOWNED)) {
				double load = BASE_LOAD + this.loads.load(shard.id(), now);
				placed.add(new PlacedShard(shard.id(), owner, load, requiredTargets.getOrDefault(shard.id(), "")));
			}
		}
		return placed;
	}

	private static boolean needsNoPlan(ShardState shard, Map<String, TargetState> targets, ControlView view) {
		return shard.phase() == ShardPhase.RELEASING
				|| (shard.phase() == ShardPhase.OWNED && TargetWeights.acceptsShards(targets.get(shard.owner()), view));
	}

	// A shard that hasn't changed since its service was created can have an unrecorded
	// previous owner. It is assigned only once no grant of that owner can be valid, or if
	// no fence had been assigned at all when the service was created.
	private static boolean assignable(ShardState shard, long created, long grantWatermark) {
		return shard.fence() == 0 || shard.viewVersion() > created || shard.viewVersion() <= grantWatermark;
	}

	private void assign(Collection<ShardState> unowned, List<Move> moves, Map<String, TargetState> targets,
			ControlView view, Proposals proposals) {
		moves.stream()
			.filter((move) -> move.reason() == Reason.UNOWNED || move.reason() == Reason.EVACUATE
					|| move.reason() == Reason.PIN)
			.forEach((move) -> this.destinations.put(move.shard(), move.destination()));
		List<ShardAssignment> assignments = unowned.stream()
			.flatMap((shard) -> assignment(shard, targets, view).stream())
			.toList();
		proposals.addBatch(assignments, (item) -> List.of("assign", item.shard(), item.expectedFence()),
				Command.AssignShards::new);
	}

	private Optional<ShardAssignment> assignment(ShardState shard, Map<String, TargetState> targets, ControlView view) {
		return Optional.ofNullable(this.destinations.get(shard.id()))
			.map(targets::get)
			.filter((target) -> TargetWeights.acceptsShards(target, view) && !target.gate().isEmpty())
			.map((target) -> new ShardAssignment(shard.id(), shard.fence(), target.spec().name(),
					target.spec().bootId()));
	}

	private void release(List<Move> moves, ControlView view, Proposals proposals) {
		List<FencedShard> released = new ArrayList<>();
		for (Move move : moves) {
			view.shard(move.shard())
				.filter((shard) -> shard.phase() == ShardPhase.OWNED && shard.owner().equals(move.source()))
				.ifPresent((shard) -> {
					this.destinations.put(move.shard(), move.destination());
					released.add(fencedShard(shard));
				});
		}
		proposals.addBatch(released, (shard) -> shard, Command.ReleaseShards::new);
	}

	/**
	 * The constraints on the plan.
	 *
	 * @param requiredTargets the targets that shards of single keys must be on
	 * @param grantWatermark the lowest view version that a valid grant can be based on
	 */
	record Constraints(Map<ShardId, String> requiredTargets, long grantWatermark) {
	}

}

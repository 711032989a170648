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
 * Plans the ownership of one service's shards. Not thread safe.
 *
 * <p>
 * Invariants: a shard of a target that takes no shards is released whether or not another
 * target can take it, since that target must get no new work; moves that only improve the
 * balance stay within the churn budget.
 */
final class ShardPlanner {

	/** Added to each load, so that idle shards spread evenly. */
	private static final double BASE_LOAD = 1;

	/** Bounds the time of one plan; the rest follows with the next ticks. */
	private static final int MAX_UNOWNED = 1_024;

	private static final long REBALANCE_NANOS = 1_000_000_000L;

	private final PlacementPolicy policy;

	private final LoadBook loads;

	private final TargetWeights weights;

	private final Map<ShardId, String> planned = new HashMap<>();

	private long nextRebalance;

	private long settledVersion = -1;

	ShardPlanner(PlacementPolicy policy, LoadBook loads, long startedAt) {
		this.policy = policy;
		this.loads = loads;
		this.weights = new TargetWeights(loads, startedAt);
		this.nextRebalance = startedAt + REBALANCE_NANOS;
	}

	void propose(RecordBody.Service service, Limits limits, ControlView view, Proposals proposals, long now) {
		boolean rebalance = now >= this.nextRebalance;
		if (!rebalance && view.version() == this.settledVersion) {
			return;
		}
		Collection<ShardState> shards = view.shards(service.name());
		Map<String, TargetState> targets = view.targets(service.name())
			.stream()
			.collect(Collectors.toMap((target) -> target.spec().name(), (target) -> target));
		this.weights.observe(view, targets.values(), now);
		evacuate(shards, targets, view, proposals);
		long created = view.record(RecordKind.SERVICE, service.name()).map(RecordState::viewVersion).orElse(0L);
		List<ShardState> unowned = shards.stream()
			.filter((shard) -> shard.phase() == ShardPhase.UNOWNED && assignable(shard, created, limits.settled()))
			.toList();
		boolean settled = shards.stream().allMatch((shard) -> settled(shard, targets, view));
		this.settledVersion = settled ? view.version() : -1;
		if (rebalance) {
			this.nextRebalance = now + REBALANCE_NANOS;
			forget(shards);
		}
		if (rebalance || !unowned.isEmpty()) {
			List<PlacedShard> placed = placed(shards, limits.wanted(), now);
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

	private void evacuate(Collection<ShardState> shards, Map<String, TargetState> targets, ControlView view,
			Proposals proposals) {
		List<FencedShard> leaving = shards.stream()
			.filter((shard) -> shard.phase() == ShardPhase.OWNED
					&& !TargetWeights.takesShards(targets.get(shard.owner()), view))
			.map(ShardPlanner::fenced)
			.toList();
		proposals.addBatch(leaving, (shard) -> shard, Command.ReleaseShards::new);
	}

	private static FencedShard fenced(ShardState shard) {
		return new FencedShard(shard.id(), shard.fence());
	}

	private void forget(Collection<ShardState> shards) {
		Map<ShardId, ShardState> moving = shards.stream()
			.filter((shard) -> shard.phase() != ShardPhase.OWNED)
			.collect(Collectors.toMap(ShardState::id, (shard) -> shard));
		this.planned.keySet().retainAll(moving.keySet());
	}

	private List<PlacedShard> placed(Collection<ShardState> shards, Map<ShardId, String> wanted, long now) {
		List<PlacedShard> placed = new ArrayList<>();
		int unowned = 0;
		for (ShardState shard : shards) {
			String owner = (shard.phase() == ShardPhase.OWNED) ? shard.owner()
					: this.planned.getOrDefault(shard.id(), "");
			unowned += owner.isEmpty() ? 1 : 0;
			if (!owner.isEmpty() || (shard.phase() == ShardPhase.UNOWNED && unowned <= MAX_UNOWNED)) {
				double load = BASE_LOAD + this.loads.load(shard.id(), now);
				placed.add(new PlacedShard(shard.id(), owner, load, wanted.getOrDefault(shard.id(), "")));
			}
		}
		return placed;
	}

	private static boolean settled(ShardState shard, Map<String, TargetState> targets, ControlView view) {
		return shard.phase() == ShardPhase.RELEASING
				|| (shard.phase() == ShardPhase.OWNED && TargetWeights.takesShards(targets.get(shard.owner()), view));
	}

	// Shards of a new service wait, unless no fence was ever given.
	private static boolean assignable(ShardState shard, long created, long settled) {
		return shard.fence() == 0 || shard.viewVersion() > created || shard.viewVersion() <= settled;
	}

	private void assign(Collection<ShardState> unowned, List<Move> moves, Map<String, TargetState> targets,
			ControlView view, Proposals proposals) {
		moves.stream()
			.filter((move) -> move.reason() == Reason.UNOWNED || move.reason() == Reason.EVACUATE
					|| move.reason() == Reason.PIN)
			.forEach((move) -> this.planned.put(move.shard(), move.destination()));
		List<ShardAssignment> assignments = unowned.stream()
			.flatMap((shard) -> assignment(shard, targets, view).stream())
			.toList();
		proposals.addBatch(assignments, (item) -> List.of("assign", item.shard(), item.expectedFence()),
				Command.AssignShards::new);
	}

	private Optional<ShardAssignment> assignment(ShardState shard, Map<String, TargetState> targets, ControlView view) {
		return Optional.ofNullable(this.planned.get(shard.id()))
			.map(targets::get)
			.filter((target) -> TargetWeights.takesShards(target, view) && !target.gate().isEmpty())
			.map((target) -> new ShardAssignment(shard.id(), shard.fence(), target.spec().name(),
					target.spec().bootId()));
	}

	private void release(List<Move> moves, ControlView view, Proposals proposals) {
		List<FencedShard> released = new ArrayList<>();
		for (Move move : moves) {
			view.shard(move.shard())
				.filter((shard) -> shard.phase() == ShardPhase.OWNED && shard.owner().equals(move.source()))
				.ifPresent((shard) -> {
					this.planned.put(move.shard(), move.destination());
					released.add(fenced(shard));
				});
		}
		proposals.addBatch(released, (shard) -> shard, Command.ReleaseShards::new);
	}

	/**
	 * What restricts the plan.
	 *
	 * @param wanted the targets that shards of single keys belong on
	 * @param settled the view version up to which no former grant is running
	 */
	record Limits(Map<ShardId, String> wanted, long settled) {
	}

}

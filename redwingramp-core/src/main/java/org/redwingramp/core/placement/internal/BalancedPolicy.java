package org.redwingramp.core.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.placement.PlacementPolicy;

/**
 * A greedy policy. It assigns the shards without a usable owner to the target with the
 * lowest load, in descending order of the shards' loads. Then it moves shards away from
 * the target with the highest load until the imbalance is within the bound. Loads are
 * compared in relation to the targets' weights. Stateless and thread safe.
 */
public final class BalancedPolicy implements PlacementPolicy {

	/** The maximum ratio of the highest load to the mean load; moves start above it. */
	static final double MAX_IMBALANCE = 1.10;

	@Override
	public List<Move> plan(List<PlacedShard> shards, List<TargetCapacity> targets, int maxRebalancingMoves) {
		Bins bins = Bins.of(targets);
		if (bins.empty()) {
			return List.of();
		}
		List<Move> moves = new ArrayList<>();
		List<PlacedShard> unplaced = new ArrayList<>();
		for (PlacedShard shard : shards) {
			Optional<Bin> pinned = bins.find(shard.pinnedTo());
			Optional<Bin> owner = bins.find(shard.owner());
			if (pinned.isPresent()) {
				assignPinned(shard, pinned.get(), moves);
			}
			else if (owner.isPresent()) {
				owner.get().add(shard);
			}
			else {
				unplaced.add(shard);
			}
		}
		assignUnplaced(unplaced, bins, moves);
		moves.sort(Comparator.comparing(Move::reason));
		rebalance(bins, maxRebalancingMoves, moves);
		return moves;
	}

	private static void assignPinned(PlacedShard shard, Bin pinned, List<Move> moves) {
		pinned.addPinned(shard);
		if (!shard.owner().equals(pinned.name())) {
			Reason reason = shard.owner().isEmpty() ? Reason.UNOWNED : Reason.PIN;
			moves.add(new Move(shard.id(), shard.owner(), pinned.name(), reason));
		}
	}

	private static void assignUnplaced(List<PlacedShard> unplaced, Bins bins, List<Move> moves) {
		unplaced.sort(Comparator.comparingDouble(PlacedShard::load).reversed().thenComparing(PlacedShard::id));
		for (PlacedShard shard : unplaced) {
			Bin bin = bins.leastLoaded(shard.load());
			bin.add(shard);
			Reason reason = shard.owner().isEmpty() ? Reason.UNOWNED : Reason.EVACUATE;
			moves.add(new Move(shard.id(), shard.owner(), bin.name(), reason));
		}
	}

	private static void rebalance(Bins bins, int maxMoves, List<Move> moves) {
		double maxRelativeLoad = bins.meanRelativeLoad() * MAX_IMBALANCE;
		for (int moveCount = 0; moveCount < maxMoves;) {
			Optional<Bin> source = bins.mostLoadedImprovable();
			if (source.isEmpty() || source.get().relativeLoad() <= maxRelativeLoad) {
				return;
			}
			Optional<Move> move = moveFrom(source.get(), bins, maxRelativeLoad);
			if (move.isPresent()) {
				moves.add(move.get());
				moveCount++;
			}
			else {
				source.get().markUnimprovable();
			}
		}
	}

	// Moves a shard from the source to the least loaded target. Prefers a shard that
	// leaves the destination within the bound; otherwise accepts one that leaves the
	// destination's relative load below the present one of the source.
	private static Optional<Move> moveFrom(Bin source, Bins bins, double maxRelativeLoad) {
		Bin destination = bins.leastLoaded(0);
		double excess = (source.relativeLoad() - maxRelativeLoad) * source.weight();
		double remainingCapacity = maxRelativeLoad * destination.weight() - destination.load();
		double maxShardLoad = source.relativeLoad() * destination.weight() - destination.load();
		return source.selectShard(excess, remainingCapacity)
			.or(() -> source.selectShard(excess, maxShardLoad))
			.filter((shard) -> shard.load() < maxShardLoad && destination != source)
			.map((shard) -> {
				source.remove(shard);
				destination.add(shard);
				return new Move(shard.id(), source.name(), destination.name(), Reason.BALANCE);
			});
	}

}

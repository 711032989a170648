package org.redwingramp.core.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.placement.PlacementPolicy;

/**
 * Places shards without a usable owner on the target with the lowest load, heaviest
 * first, then takes shards from the target with the highest load until the imbalance is
 * within the bound. Stateless and thread safe.
 */
public final class BalancedPolicy implements PlacementPolicy {

	/** The imbalance, highest over mean, that starts moves; stated by the design. */
	static final double BOUND = 1.10;

	@Override
	public List<Move> plan(List<PlacedShard> shards, List<TargetCapacity> targets, int maxRebalancingMoves) {
		Bins bins = Bins.of(targets);
		if (bins.empty()) {
			return List.of();
		}
		List<Move> moves = new ArrayList<>();
		List<PlacedShard> homeless = new ArrayList<>();
		for (PlacedShard shard : shards) {
			Optional<Bin> pinned = bins.find(shard.pinnedTo());
			Optional<Bin> owner = bins.find(shard.owner());
			if (pinned.isPresent()) {
				pin(shard, pinned.get(), moves);
			}
			else if (owner.isPresent()) {
				owner.get().add(shard);
			}
			else {
				homeless.add(shard);
			}
		}
		place(homeless, bins, moves);
		moves.sort(Comparator.comparing(Move::reason));
		rebalance(bins, maxRebalancingMoves, moves);
		return moves;
	}

	private static void pin(PlacedShard shard, Bin pinned, List<Move> moves) {
		pinned.addFixed(shard);
		if (!shard.owner().equals(pinned.name())) {
			Reason reason = shard.owner().isEmpty() ? Reason.UNOWNED : Reason.PIN;
			moves.add(new Move(shard.id(), shard.owner(), pinned.name(), reason));
		}
	}

	private static void place(List<PlacedShard> homeless, Bins bins, List<Move> moves) {
		homeless.sort(Comparator.comparingDouble(PlacedShard::load).reversed().thenComparing(PlacedShard::id));
		for (PlacedShard shard : homeless) {
			Bin bin = bins.lowest(shard.load());
			bin.add(shard);
			Reason reason = shard.owner().isEmpty() ? Reason.UNOWNED : Reason.EVACUATE;
			moves.add(new Move(shard.id(), shard.owner(), bin.name(), reason));
		}
	}

	private static void rebalance(Bins bins, int maxMoves, List<Move> moves) {
		double bound = bins.mean() * BOUND;
		for (int made = 0; made < maxMoves;) {
			Optional<Bin> source = bins.highest();
			if (source.isEmpty() || source.get().level() <= bound) {
				return;
			}
			Optional<Move> move = improvement(source.get(), bins, bound);
			if (move.isPresent()) {
				moves.add(move.get());
				made++;
			}
			else {
				source.get().markStuck();
			}
		}
	}

	private static Optional<Move> improvement(Bin source, Bins bins, double bound) {
		Bin destination = bins.lowest(0);
		double needed = (source.level() - bound) * source.weight();
		double room = bound * destination.weight() - destination.load();
		double most = source.level() * destination.weight() - destination.load();
		return source.pick(needed, room)
			.or(() -> source.pick(needed, most))
			.filter((shard) -> shard.load() < most && destination != source)
			.map((shard) -> {
				source.remove(shard);
				destination.add(shard);
				return new Move(shard.id(), source.name(), destination.name(), Reason.BALANCE);
			});
	}

}

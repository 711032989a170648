package org.redwingramp.core.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.placement.PlacementPolicy;

/**
 * Assigns each shard by its hash modulo the number of targets that accept shards. Unlike
 * other policies it also moves shards when the load is balanced, since a change in the
 * number of targets changes the results of the modulo. Stateless and thread safe.
 */
public final class HashModuloPolicy implements PlacementPolicy {

	@Override
	public List<Move> plan(List<PlacedShard> shards, List<TargetCapacity> targets, int maxRebalancingMoves) {
		List<String> accepting = targets.stream()
			.filter(TargetCapacity::acceptsShards)
			.map(TargetCapacity::name)
			.sorted()
			.toList();
		List<Move> moves = new ArrayList<>();
		if (accepting.isEmpty()) {
			return moves;
		}
		int rebalancingMoves = 0;
		for (PlacedShard shard : shards) {
			String destination = accepting.contains(shard.pinnedTo()) ? shard.pinnedTo()
					: accepting.get(KeyHash.slice(shard.id().toString(), accepting.size()));
			if (destination.equals(shard.owner())) {
				continue;
			}
			Reason reason = reason(shard, accepting);
			rebalancingMoves += (reason == Reason.BALANCE) ? 1 : 0;
			if (reason != Reason.BALANCE || rebalancingMoves <= maxRebalancingMoves) {
				moves.add(new Move(shard.id(), shard.owner(), destination, reason));
			}
		}
		moves.sort(Comparator.comparing(Move::reason));
		return moves;
	}

	private static Reason reason(PlacedShard shard, List<String> accepting) {
		if (shard.owner().isEmpty()) {
			return Reason.UNOWNED;
		}
		if (!accepting.contains(shard.owner())) {
			return Reason.EVACUATE;
		}
		return accepting.contains(shard.pinnedTo()) ? Reason.PIN : Reason.BALANCE;
	}

}

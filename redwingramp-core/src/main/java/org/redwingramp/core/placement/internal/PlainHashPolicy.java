package org.redwingramp.core.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.placement.PlacementPolicy;

/**
 * Places each shard by its hash modulo the number of targets that take shards. Stateless
 * and thread safe.
 */
public final class PlainHashPolicy implements PlacementPolicy {

	@Override
	public List<Move> plan(List<PlacedShard> shards, List<TargetCapacity> targets, int maxRebalancingMoves) {
		List<String> takers = targets.stream()
			.filter(TargetCapacity::takesShards)
			.map(TargetCapacity::name)
			.sorted()
			.toList();
		List<Move> moves = new ArrayList<>();
		if (takers.isEmpty()) {
			return moves;
		}
		int rebalancing = 0;
		for (PlacedShard shard : shards) {
			String wanted = takers.contains(shard.pinnedTo()) ? shard.pinnedTo()
					: takers.get(KeyHash.slice(shard.id().toString(), takers.size()));
			if (wanted.equals(shard.owner())) {
				continue;
			}
			Reason reason = reason(shard, takers);
			rebalancing += (reason == Reason.BALANCE) ? 1 : 0;
			if (reason != Reason.BALANCE || rebalancing <= maxRebalancingMoves) {
				moves.add(new Move(shard.id(), shard.owner(), wanted, reason));
			}
		}
		moves.sort(Comparator.comparing(Move::reason));
		return moves;
	}

	private static Reason reason(PlacedShard shard, List<String> takers) {
		if (shard.owner().isEmpty()) {
			return Reason.UNOWNED;
		}
		if (!takers.contains(shard.owner())) {
			return Reason.EVACUATE;
		}
		return takers.contains(shard.pinnedTo()) ? Reason.PIN : Reason.BALANCE;
	}

}

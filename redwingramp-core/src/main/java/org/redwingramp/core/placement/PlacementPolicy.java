package org.redwingramp.core.placement;

import java.util.List;

import org.redwingramp.core.model.ShardId;

/**
 * Plans which target owns each shard of one service. A pure function: deterministic,
 * stateless and thread safe.
 *
 * <p>
 * Invariants: a shard is planned only onto a target that takes shards; a shard stays
 * where it is unless its target can't keep it, a pin asks for another, or the imbalance
 * (highest load over mean load) exceeds the bound.
 */
public interface PlacementPolicy {

	/**
	 * Plans the moves that are wanted now.
	 * @param shards all shards of the service
	 * @param targets all targets of the service
	 * @param maxRebalancingMoves the largest number of moves that only improve the
	 * balance; shards whose target can't keep them are moved without a limit
	 * @return the moves in order of urgency
	 */
	List<Move> plan(List<PlacedShard> shards, List<TargetCapacity> targets, int maxRebalancingMoves);

	/**
	 * A shard to place. Immutable.
	 *
	 * @param id the shard
	 * @param owner the owning target, empty if there is none
	 * @param load its requests per second; at least a small value, so that idle shards
	 * spread too
	 * @param pinnedTo the target that a pin asks for, empty for none
	 */
	record PlacedShard(ShardId id, String owner, double load, String pinnedTo) {
	}

	/**
	 * A target to place on. Immutable.
	 *
	 * @param name the target's name
	 * @param failureDomain its failure domain
	 * @param takesShards whether it may get shards and keep those it has
	 * @param weight its share of the load relative to others; 1 for a normal one, less
	 * for a straggler or a target that has just returned
	 */
	record TargetCapacity(String name, String failureDomain, boolean takesShards, double weight) {
	}

	/**
	 * A planned move. Immutable.
	 *
	 * @param shard the shard
	 * @param source the present owner, empty for an unowned shard
	 * @param destination the planned owner
	 * @param reason why it moves
	 */
	record Move(ShardId shard, String source, String destination, Reason reason) {
	}

	/** Why a shard moves. */
	enum Reason {

		/** It has no owner. */
		UNOWNED,

		/** Its owner drains, or its failure domain is out. */
		EVACUATE,

		/** A pin asks for it. */
		PIN,

		/** Its owner has more load than others. */
		BALANCE

	}

}

package org.redwingramp.core.placement;

import java.util.List;

import org.redwingramp.core.model.ShardId;

/**
 * Plans which target owns each shard of one service. A shard is a part of the service's
 * keys with a single owner, either a hash slice or a hot key. A policy is a pure
 * function: deterministic, stateless and thread safe.
 *
 * <p>
 * Invariants: shards are assigned only to targets that accept shards; a shard moves only
 * if its owner can't keep it, a pin requires another owner, or the imbalance (the ratio
 * of the highest load to the mean load) exceeds the policy's bound.
 */
public interface PlacementPolicy {

	/**
	 * Plans the moves that the current placement requires.
	 * @param shards all shards of the service
	 * @param targets all targets of the service
	 * @param maxRebalancingMoves the maximum number of moves that only improve the
	 * balance; other moves are not limited
	 * @return the moves in order of urgency
	 */
	List<Move> plan(List<PlacedShard> shards, List<TargetCapacity> targets, int maxRebalancingMoves);

	/**
	 * A shard to place. Immutable.
	 *
	 * @param id the shard
	 * @param owner the name of the owning target, empty if there is none
	 * @param load the shard's requests per second, with a small minimum, so that idle
	 * shards are distributed too
	 * @param pinnedTo the name of the target that a pin requires as the owner, empty if
	 * the shard is not pinned
	 */
	record PlacedShard(ShardId id, String owner, double load, String pinnedTo) {
	}

	/**
	 * A target that may own shards. Immutable.
	 *
	 * @param name the target's name
	 * @param failureDomain the target's failure domain
	 * @param acceptsShards whether the target accepts new shards and keeps those it owns
	 * @param weight the target's relative share of the load: 1 for a normal target, less
	 * for a straggler or a target that has just returned
	 */
	record TargetCapacity(String name, String failureDomain, boolean acceptsShards, double weight) {
	}

	/**
	 * A planned move. Immutable.
	 *
	 * @param shard the shard
	 * @param source the name of the current owner, empty for an unowned shard
	 * @param destination the name of the planned owner
	 * @param reason the reason of the move
	 */
	record Move(ShardId shard, String source, String destination, Reason reason) {
	}

	/** The reason of a move, in order of urgency. */
	enum Reason {

		/** The shard has no owner. */
		UNOWNED,

		/** The owner does not accept shards: it drains or its failure domain is out. */
		EVACUATE,

		/** The shard is pinned to another target. */
		PIN,

		/** The owner is overloaded compared with the other targets. */
		BALANCE

	}

}

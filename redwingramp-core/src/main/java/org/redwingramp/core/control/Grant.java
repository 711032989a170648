package org.redwingramp.core.control;

import java.util.List;

/**
 * The message by which a gate permits a target to serve shards until the end of a lease.
 * Immutable and thread safe.
 *
 * @param gate the name of the entry instance that is the gate
 * @param epoch the gate epoch; a target refuses a grant with a lower epoch
 * @param number the sequence number within the gate epoch; a target refuses a grant with
 * a lower number, so that a delayed grant cannot restore a withdrawn shard
 * @param bootId identifies the incarnation of the target that the grant is for; another
 * incarnation ignores the grant, since the lease refers to the clock of this incarnation
 * and could last too long on the clock of another
 * @param leaseUntilMillis the end of the lease in milliseconds of the target's monotonic
 * clock, 0 for no lease
 * @param shards all shards that the target may serve, with their fences; the target must
 * stop serving any shard that is not listed
 */
public record Grant(String gate, long epoch, long number, String bootId, long leaseUntilMillis,
		List<Command.FencedShard> shards) {

	public Grant {
		shards = List.copyOf(shards);
	}

}

package org.redwingramp.core.control;

import java.util.List;

/**
 * What a gate tells a target that it may serve. Immutable and thread safe.
 *
 * @param gate the gate's name
 * @param epoch the gate epoch; a target refuses a lower one
 * @param number rises with each grant of a gate epoch; a target refuses a lower one, so
 * that a grant that was delayed can't bring back a shard that was withdrawn
 * @param bootId the run of the target that is meant; another run ignores the grant, since
 * the lease is a reading of the meant run's clock and would last too long on another
 * @param leaseUntilMillis the end of the lease on the target's own clock in milliseconds,
 * 0 for no lease
 * @param shards all shards that the target owns, with their fences; those left out are
 * withdrawn
 */
public record Grant(String gate, long epoch, long number, String bootId, long leaseUntilMillis,
		List<Command.FencedShard> shards) {

	public Grant {
		shards = List.copyOf(shards);
	}

}

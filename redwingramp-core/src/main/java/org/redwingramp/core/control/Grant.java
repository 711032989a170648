package org.redwingramp.core.control;

import java.util.List;

/**
 * What a gate tells a target that it may serve. Immutable and thread safe.
 *
 * @param gate the gate's name
 * @param epoch the gate epoch; a target refuses a lower one
 * @param bootId the run of the target that is meant; another run ignores the grant, since
 * the lease is a reading of the meant run's clock and would last too long on another
 * @param leaseUntilMillis the end of the lease on the target's own clock in milliseconds,
 * 0 for no lease
 * @param shards all shards that the target owns, with their fences; those left out are
 * withdrawn
 */
public record Grant(String gate, long epoch, String bootId, long leaseUntilMillis, List<Command.FencedShard> shards) {

	public Grant {
		shards = List.copyOf(shards);
	}

}

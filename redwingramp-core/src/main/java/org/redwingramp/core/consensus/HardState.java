package org.redwingramp.core.consensus;

import java.util.Optional;

/**
 * The state besides the log that a replica must persist across restarts. Immutable and
 * thread safe.
 *
 * @param term the current term, the highest that the replica has seen
 * @param votedFor the replica that received this replica's vote in that term, if any
 */
public record HardState(long term, Optional<ReplicaId> votedFor) {

	/** The state of an empty replica. */
	public static final HardState EMPTY = new HardState(0, Optional.empty());

}

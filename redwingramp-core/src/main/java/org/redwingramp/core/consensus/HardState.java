package org.redwingramp.core.consensus;

import java.util.Optional;

/**
 * What a replica must remember across restarts besides its log. Immutable and thread
 * safe.
 *
 * @param term the highest term seen
 * @param votedFor the replica that got this replica's vote in that term
 */
public record HardState(long term, Optional<ReplicaId> votedFor) {

	/** The state of a blank replica. */
	public static final HardState BLANK = new HardState(0, Optional.empty());

}

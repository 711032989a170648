package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What a replica finds in its data folder at start. Immutable and thread safe.
 *
 * @param id the replica with the incarnation of this data folder
 * @param hardState the term and vote
 * @param snapshot the newest snapshot
 * @param entries the entries after the snapshot in order
 */
public record StoredState(ReplicaId id, HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {

	public StoredState {
		entries = List.copyOf(entries);
	}

	/**
	 * Creates the state of a new data folder.
	 * @param id the replica
	 * @return the blank state
	 */
	public static StoredState blank(ReplicaId id) {
		return new StoredState(id, HardState.BLANK, Optional.empty(), List.of());
	}

	/**
	 * Returns whether the replica holds nothing yet.
	 * @return {@code true} for a new data folder
	 */
	public boolean blank() {
		return this.snapshot.isEmpty() && this.entries.isEmpty();
	}

}

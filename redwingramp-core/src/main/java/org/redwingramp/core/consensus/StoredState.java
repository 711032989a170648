package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * The content of a replica's data folder at start. Immutable and thread safe.
 *
 * @param id the identity of the replica, with the incarnation stored in this data folder
 * @param hardState the term and vote
 * @param snapshot the latest snapshot
 * @param entries the entries after the snapshot, in order
 */
public record StoredState(ReplicaId id, HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {

	public StoredState {
		entries = List.copyOf(entries);
	}

	/**
	 * Creates the state of a new data folder.
	 * @param id the replica
	 * @return the empty state
	 */
	public static StoredState empty(ReplicaId id) {
		return new StoredState(id, HardState.EMPTY, Optional.empty(), List.of());
	}

	/**
	 * Returns whether the replica is empty, that is, holds neither a snapshot nor
	 * entries.
	 * @return {@code true} for a new data folder
	 */
	public boolean empty() {
		return this.snapshot.isEmpty() && this.entries.isEmpty();
	}

}

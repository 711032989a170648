package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What must be on the disk, synced, before the messages of the same effects are sent.
 * Applied in the order snapshot, truncation, entries, hard state. Immutable and thread
 * safe.
 *
 * @param number identifies the batch, rising by 1
 * @param hardState the new term and vote, if they changed
 * @param snapshot a snapshot received from the leader or made by compaction; it replaces
 * all entries up to its index
 * @param truncateFrom the index from which stored entries are removed, 0 for none
 * @param entries the entries to append
 */
public record PersistBatch(long number, Optional<HardState> hardState, Optional<Snapshot> snapshot, long truncateFrom,
		List<LogEntry> entries) {

	public PersistBatch {
		entries = List.copyOf(entries);
	}

}

package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * A batch of changes to the persistent state. It must be synced to the disk before the
 * messages of the same effects are sent. The parts are written in the order snapshot,
 * truncation, entries, hard state. Immutable and thread safe.
 *
 * @param number the batch number, which increases by 1 from batch to batch
 * @param hardState the new term and vote, if they changed
 * @param snapshot a snapshot received from the leader or created by compaction; it
 * replaces all entries up to its index
 * @param truncateFrom the index from which stored entries are removed, 0 for none
 * @param entries the entries to append
 */
public record PersistBatch(long number, Optional<HardState> hardState, Optional<Snapshot> snapshot, long truncateFrom,
		List<LogEntry> entries) {

	public PersistBatch {
		entries = List.copyOf(entries);
	}

}

package org.redwingramp.storage.internal;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;

/**
 * What a log amounts to after a batch, without its entries. It is written at the head of
 * each segment, so that earlier segments can be deleted and a missing one is noticed.
 * Immutable and thread safe.
 *
 * @param sequence the number of the last batch
 * @param hardState the term and vote
 * @param snapshot the snapshot in force
 * @param lastIndex the index of the last entry, or of the snapshot if none follows it
 */
record LogState(long sequence, HardState hardState, SnapshotRef snapshot, long lastIndex) {

	static final LogState EMPTY = new LogState(0, HardState.EMPTY, SnapshotRef.NONE, 0);

	/**
	 * Finds out why a batch can't follow this state.
	 * @param batch the batch
	 * @return what is wrong, or empty if it fits
	 */
	Optional<String> problem(StoredBatch batch) {
		SnapshotRef newest = batch.snapshot().orElse(this.snapshot);
		long last = lastIndexBeforeEntries(batch);
		if (batch.sequence() != this.sequence + 1) {
			return Optional.of("batch " + batch.sequence() + " follows batch " + this.sequence);
		}
		if (newest.index() < this.snapshot.index()) {
			return Optional.of("snapshot " + newest.index() + " follows snapshot " + this.snapshot.index());
		}
		if (batch.truncateFrom() != 0 && batch.truncateFrom() <= newest.index()) {
			return Optional.of("truncation from " + batch.truncateFrom() + " reaches into snapshot " + newest.index());
		}
		List<LogEntry> entries = batch.entries();
		for (int i = 0; i < entries.size(); i++) {
			if (entries.get(i).index() != last + 1 + i) {
				return Optional.of("entry " + entries.get(i).index() + " follows entry " + (last + i));
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the state after a batch that fits.
	 * @param batch the batch
	 * @return the new state
	 */
	LogState after(StoredBatch batch) {
		return new LogState(batch.sequence(), batch.hardState().orElse(this.hardState),
				batch.snapshot().orElse(this.snapshot), lastIndexBeforeEntries(batch) + batch.entries().size());
	}

	private long lastIndexBeforeEntries(StoredBatch batch) {
		long last = Math.max(this.lastIndex, batch.snapshot().orElse(this.snapshot).index());
		return (batch.truncateFrom() == 0) ? last : Math.min(last, batch.truncateFrom() - 1);
	}

}

package org.redwingramp.storage.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.consensus.LogEntry;

/**
 * Replays the batches of the log in order to rebuild its entries. Invariant: the entries
 * held are those with the indices from {@code baseIndex + 1} to the last index of the
 * state. Not thread safe.
 */
final class LogReplay {

	private final List<LogEntry> entries = new ArrayList<>();

	private LogState state;

	private long baseIndex;

	LogReplay(LogState start) {
		this.state = start;
		this.baseIndex = start.lastIndex();
	}

	/**
	 * Applies the next batch if it is consistent with the state.
	 * @param batch the batch
	 * @return the inconsistency, or empty if the batch was applied
	 */
	Optional<String> apply(StoredBatch batch) {
		Optional<String> inconsistency = this.state.inconsistency(batch);
		if (inconsistency.isEmpty()) {
			batch.snapshot().ifPresent((snapshot) -> discardUpTo(snapshot.index()));
			if (batch.truncateFrom() != 0) {
				truncate(batch.truncateFrom());
			}
			this.entries.addAll(batch.entries());
			this.state = this.state.after(batch);
		}
		return inconsistency;
	}

	LogState state() {
		return this.state;
	}

	/**
	 * Returns whether no entry is missing between the snapshot and the first entry held.
	 * @return whether the entries continue the snapshot without a gap
	 */
	boolean contiguous() {
		return this.baseIndex <= this.state.snapshot().index();
	}

	List<LogEntry> entriesAfterSnapshot() {
		long skipped = this.state.snapshot().index() - this.baseIndex;
		return this.entries.stream().skip(Math.max(0, skipped)).toList();
	}

	private void discardUpTo(long index) {
		long count = Math.min(index - this.baseIndex, this.entries.size());
		if (count > 0) {
			this.entries.subList(0, (int) count).clear();
		}
		this.baseIndex = Math.max(this.baseIndex, index);
	}

	private void truncate(long from) {
		if (from <= this.baseIndex) {
			this.entries.clear();
			this.baseIndex = from - 1;
		}
		else if (from - this.baseIndex - 1 < this.entries.size()) {
			this.entries.subList((int) (from - this.baseIndex - 1), this.entries.size()).clear();
		}
	}

}

package org.redwingramp.storage.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.consensus.LogEntry;

/**
 * Rebuilds the entries from batches in order. Invariant: the entries are those with
 * indices from {@code base + 1} to the state's last index. Not thread safe.
 */
final class LogReplay {

	private final List<LogEntry> entries = new ArrayList<>();

	private LogState state;

	private long base;

	LogReplay(LogState start) {
		this.state = start;
		this.base = start.lastIndex();
	}

	/**
	 * Applies the next batch.
	 * @param batch the batch
	 * @return what is wrong with it, or empty if it was applied
	 */
	Optional<String> apply(StoredBatch batch) {
		Optional<String> problem = this.state.problem(batch);
		if (problem.isEmpty()) {
			batch.snapshot().ifPresent((snapshot) -> dropUpTo(snapshot.index()));
			if (batch.truncateFrom() != 0) {
				truncate(batch.truncateFrom());
			}
			this.entries.addAll(batch.entries());
			this.state = this.state.after(batch);
		}
		return problem;
	}

	LogState state() {
		return this.state;
	}

	/**
	 * Returns whether no entry is missing between the snapshot and the first entry.
	 * @return whether the log is whole
	 */
	boolean whole() {
		return this.base <= this.state.snapshot().index();
	}

	List<LogEntry> entriesAfterSnapshot() {
		long skipped = this.state.snapshot().index() - this.base;
		return this.entries.stream().skip(Math.max(0, skipped)).toList();
	}

	private void dropUpTo(long index) {
		long count = Math.min(index - this.base, this.entries.size());
		if (count > 0) {
			this.entries.subList(0, (int) count).clear();
		}
		this.base = Math.max(this.base, index);
	}

	private void truncate(long from) {
		if (from <= this.base) {
			this.entries.clear();
			this.base = from - 1;
		}
		else if (from - this.base - 1 < this.entries.size()) {
			this.entries.subList((int) (from - this.base - 1), this.entries.size()).clear();
		}
	}

}

package org.redwingramp.core.consensus.internal;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Knows up to which index the own disk holds the log. Invariant: never beyond an entry
 * that was truncated after it was written. Not thread safe.
 */
final class DurableIndex {

	private final Deque<Pending> pending = new ArrayDeque<>();

	private long index;

	DurableIndex(long index) {
		this.index = index;
	}

	long index() {
		return this.index;
	}

	void written(long batch, long lastIndex) {
		this.pending.add(new Pending(batch, lastIndex));
	}

	void truncated(long from) {
		this.index = Math.min(this.index, from - 1);
		int size = this.pending.size();
		for (int i = 0; i < size; i++) {
			Pending write = this.pending.remove();
			this.pending.add(new Pending(write.batch(), Math.min(write.lastIndex(), from - 1)));
		}
	}

	void synced(long batch) {
		while (!this.pending.isEmpty() && this.pending.peek().batch() <= batch) {
			this.index = Math.max(this.index, this.pending.remove().lastIndex());
		}
	}

	private record Pending(long batch, long lastIndex) {
	}

}

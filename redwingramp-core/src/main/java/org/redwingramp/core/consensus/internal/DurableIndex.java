package org.redwingramp.core.consensus.internal;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks the last log index that is synced to this replica's disk. Invariant: the index
 * never covers an entry that was truncated after it was written. Not thread safe.
 */
final class DurableIndex {

	private final Deque<PendingWrite> pending = new ArrayDeque<>();

	private long index;

	DurableIndex(long index) {
		this.index = index;
	}

	long index() {
		return this.index;
	}

	void recordPending(long batch, long lastIndex) {
		this.pending.add(new PendingWrite(batch, lastIndex));
	}

	void truncate(long from) {
		this.index = Math.min(this.index, from - 1);
		int size = this.pending.size();
		for (int i = 0; i < size; i++) {
			PendingWrite write = this.pending.remove();
			this.pending.add(new PendingWrite(write.batch(), Math.min(write.lastIndex(), from - 1)));
		}
	}

	void markSynced(long batch) {
		while (!this.pending.isEmpty() && this.pending.peek().batch() <= batch) {
			this.index = Math.max(this.index, this.pending.remove().lastIndex());
		}
	}

	private record PendingWrite(long batch, long lastIndex) {
	}

}

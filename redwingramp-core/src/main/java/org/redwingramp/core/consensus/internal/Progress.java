package org.redwingramp.core.consensus.internal;

import java.util.Optional;

import org.redwingramp.core.consensus.Snapshot;

/**
 * What the leader knows about one other replica. Invariant: the matching index only rises
 * and is always lower than the next index. Not thread safe.
 */
final class Progress {

	/**
	 * Appends with entries on the way at once. More of them only queue at a slow
	 * receiver; further proposals are batched into the next append instead.
	 */
	static final int WINDOW = 4;

	/** Lower than any time, without overflow in differences. */
	private static final long NEVER = Long.MIN_VALUE / 4;

	private long match;

	private long next;

	private int inFlight;

	private long acknowledgedSendNanos = NEVER;

	private Optional<Snapshot> transfer = Optional.empty();

	private long transferOffset;

	Progress(long next) {
		this.next = next;
	}

	long match() {
		return this.match;
	}

	long next() {
		return this.next;
	}

	long acknowledgedSendNanos() {
		return this.acknowledgedSendNanos;
	}

	boolean windowOpen() {
		return this.inFlight < WINDOW;
	}

	void openWindow() {
		this.inFlight = 0;
	}

	void sent(int entries) {
		this.next += entries;
		this.inFlight += (entries > 0) ? 1 : 0;
	}

	void heard(long sentNanos) {
		this.acknowledgedSendNanos = Math.max(this.acknowledgedSendNanos, sentNanos);
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	void matched(long index) {
		this.match = Math.max(this.match, index);
		this.next = Math.max(this.next, this.match + 1);
	}

	// Returns whether the next index moved back, so that entries have to be resent.
	boolean rejected(long hint) {
		long retry = Math.max(this.match + 1, hint + 1);
		boolean back = retry < this.next;
		this.next = Math.min(this.next, retry);
		return back;
	}

	Optional<Snapshot> transfer() {
		return this.transfer;
	}

	long transferOffset() {
		return this.transferOffset;
	}

	void startTransfer(Snapshot snapshot) {
		this.transfer = Optional.of(snapshot);
		this.transferOffset = 0;
	}

	void continueTransfer(long offset) {
		this.transferOffset = offset;
	}

	void endTransfer() {
		this.transfer = Optional.empty();
	}

}

package org.redwingramp.core.consensus.internal;

import java.util.Optional;

import org.redwingramp.core.consensus.Snapshot;

/**
 * The replication progress of one other replica as known to the leader. Invariant: the
 * match index only increases and is always lower than the next index. Not thread safe.
 */
final class Progress {

	/**
	 * Maximum number of append requests with entries in flight to one replica. Further
	 * requests would only queue at a slow receiver; instead, new proposals are batched
	 * into the next request.
	 */
	static final int MAX_IN_FLIGHT_APPENDS = 4;

	/** Earlier than any time, without overflow when subtracted from one. */
	private static final long NEVER = Long.MIN_VALUE / 4;

	private long matchIndex;

	private long nextIndex;

	private int inFlight;

	private long acknowledgedSendNanos = NEVER;

	private Optional<Snapshot> transfer = Optional.empty();

	private long transferOffset;

	Progress(long nextIndex) {
		this.nextIndex = nextIndex;
	}

	long matchIndex() {
		return this.matchIndex;
	}

	long nextIndex() {
		return this.nextIndex;
	}

	long acknowledgedSendNanos() {
		return this.acknowledgedSendNanos;
	}

	boolean hasWindowCapacity() {
		return this.inFlight < MAX_IN_FLIGHT_APPENDS;
	}

	// Requests or their replies may have been lost, so they no longer count as in flight.
	void resetWindow() {
		this.inFlight = 0;
	}

	void recordSent(int entries) {
		this.nextIndex += entries;
		this.inFlight += (entries > 0) ? 1 : 0;
	}

	void recordReply(long sentNanos) {
		this.acknowledgedSendNanos = Math.max(this.acknowledgedSendNanos, sentNanos);
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	void advanceMatchIndex(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
	}

	// Handles a rejected append request. Returns whether the next index moved back, so
	// that entries have to be resent.
	boolean rewind(long hint) {
		long retry = Math.max(this.matchIndex + 1, hint + 1);
		boolean back = retry < this.nextIndex;
		this.nextIndex = Math.min(this.nextIndex, retry);
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

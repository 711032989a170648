package org.redwingramp.wire.internal;

import org.redwingramp.wire.LinkSettings;

/**
 * Spaces out attempts to connect to a peer that can't be reached. Thread safe.
 */
final class Backoff {

	private static final long MILLISECOND = 1_000_000;

	private final long minNanos;

	private final long maxNanos;

	private long pauseNanos;

	private long nextAttempt;

	private boolean failedBefore;

	Backoff(LinkSettings settings) {
		this.minNanos = settings.minBackoffMillis() * MILLISECOND;
		this.maxNanos = settings.maxBackoffMillis() * MILLISECOND;
	}

	/**
	 * Returns how long no attempt should be made.
	 * @return the remaining pause in nanoseconds, 0 if an attempt may be made now
	 */
	synchronized long remainingNanos() {
		return (this.pauseNanos == 0) ? 0 : Math.max(0, this.nextAttempt - System.nanoTime());
	}

	synchronized void failed() {
		// A single failure among working connections must not keep callers from the peer.
		if (this.failedBefore) {
			this.pauseNanos = Math.min(this.maxNanos, Math.max(this.minNanos, 2 * this.pauseNanos));
			this.nextAttempt = System.nanoTime() + this.pauseNanos;
		}
		this.failedBefore = true;
	}

	synchronized void worked() {
		this.pauseNanos = 0;
		this.failedBefore = false;
	}

}

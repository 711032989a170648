package org.redwingramp.wire.internal;

import org.redwingramp.wire.LinkSettings;

/**
 * Exponential backoff between attempts to connect to an unreachable peer. Attempts are
 * delayed from the second consecutive failure on. Thread safe.
 */
final class Backoff {

	private static final long NANOS_PER_MILLISECOND = 1_000_000;

	private final long minNanos;

	private final long maxNanos;

	private long delayNanos;

	private long nextAttemptNanos;

	private boolean lastAttemptFailed;

	Backoff(LinkSettings settings) {
		this.minNanos = settings.minBackoffMillis() * NANOS_PER_MILLISECOND;
		this.maxNanos = settings.maxBackoffMillis() * NANOS_PER_MILLISECOND;
	}

	/**
	 * Returns the time until the next attempt is allowed.
	 * @return the remaining delay in nanoseconds, 0 if an attempt is allowed now
	 */
	synchronized long remainingNanos() {
		return (this.delayNanos == 0) ? 0 : Math.max(0, this.nextAttemptNanos - System.nanoTime());
	}

	synchronized void failed() {
		// A single failure between successful connections must not block callers.
		if (this.lastAttemptFailed) {
			this.delayNanos = Math.min(this.maxNanos, Math.max(this.minNanos, 2 * this.delayNanos));
			this.nextAttemptNanos = System.nanoTime() + this.delayNanos;
		}
		this.lastAttemptFailed = true;
	}

	synchronized void succeeded() {
		this.delayNanos = 0;
		this.lastAttemptFailed = false;
	}

}

package org.redwingramp.core.dispatch;

import java.util.OptionalLong;

/**
 * Whether one entry instance may send requests to one incarnation of a target, by what
 * the target states in its responses: that it leaves, or that it wants no requests of
 * this entry instance for some time. Invariant: what a target stated is only ever
 * extended, since responses may arrive in another order than they were sent. Reads no
 * clock. Not thread safe.
 */
public final class TargetAvailability {

	/** Maximum time for which a target is spared, whatever it asks for. */
	public static final long MAX_PAUSE_MILLIS = 600_000;

	/**
	 * Maximum age of a pause that the next incarnation of the target takes over. A target
	 * that starts again is heard of sooner, or it is lost.
	 */
	private static final long MAX_KEPT_PAUSE_AGE_NANOS = 6_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private long pauseStatedNanos;

	private OptionalLong leavingSinceNanos = OptionalLong.empty();

	private OptionalLong pausedUntilNanos = OptionalLong.empty();

	/**
	 * Records that the target states that it leaves.
	 * @param now the monotonic time in nanoseconds
	 * @return whether this wasn't known before
	 */
	public boolean leaves(long now) {
		if (this.leavingSinceNanos.isPresent()) {
			return false;
		}
		this.leavingSinceNanos = OptionalLong.of(now);
		return true;
	}

	/**
	 * Records that the target wants no requests for some time.
	 * @param millis the time in milliseconds, which is bounded by
	 * {@link #MAX_PAUSE_MILLIS}
	 * @param now the monotonic time in nanoseconds
	 */
	public void pauses(long millis, long now) {
		this.pauseStatedNanos = now;
		long until = now + Math.min(millis, MAX_PAUSE_MILLIS) * NANOS_PER_MILLI;
		if (this.pausedUntilNanos.isEmpty() || until - this.pausedUntilNanos.getAsLong() > 0) {
			this.pausedUntilNanos = OptionalLong.of(until);
		}
	}

	/**
	 * Takes over the pause that was recorded a short time ago for the former incarnation
	 * of the target. The present one may have stated it, since its responses arrive
	 * before anybody tells that it has started. That the former one leaves says nothing
	 * about it.
	 * @param former the availability of the former incarnation
	 * @param now the monotonic time in nanoseconds
	 */
	public void keepRecentPauseOf(TargetAvailability former, long now) {
		if (now - former.pauseStatedNanos < MAX_KEPT_PAUSE_AGE_NANOS) {
			this.pauseStatedNanos = former.pauseStatedNanos;
			this.pausedUntilNanos = former.pausedUntilNanos;
		}
	}

	/**
	 * Returns whether the target has stated that it leaves.
	 * @return whether it leaves
	 */
	public boolean leaving() {
		return this.leavingSinceNanos.isPresent();
	}

	/**
	 * Returns whether a request came too late for a target that leaves.
	 * @param receivedNanos when the request was received, as monotonic time in
	 * nanoseconds
	 * @param drainNanos how long a target that leaves still serves new requests
	 * @return whether the request must not be sent to the target
	 */
	public boolean leftBefore(long receivedNanos, long drainNanos) {
		return this.leavingSinceNanos.isPresent() && receivedNanos - this.leavingSinceNanos.getAsLong() > drainNanos;
	}

	/**
	 * Returns for how long the target wants no requests.
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds, rounded up, 0 if requests may be sent
	 */
	public long pauseLeftMillis(long now) {
		if (this.pausedUntilNanos.isEmpty() || this.pausedUntilNanos.getAsLong() - now <= 0) {
			return 0;
		}
		return (this.pausedUntilNanos.getAsLong() - now + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
	}

}

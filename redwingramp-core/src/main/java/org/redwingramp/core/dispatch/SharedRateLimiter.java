package org.redwingramp.core.dispatch;

/**
 * A token bucket for the share of one entry instance in the rate at which all entry
 * instances together may send requests to a target. Not thread safe.
 */
public final class SharedRateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Capacity of the bucket. It allows no burst, since several entry instances can send
	 * a request in the same second.
	 */
	private static final double MAX_TOKENS = 1;

	private double tokens;

	private long lastRefillNanos;

	/**
	 * Creates a token bucket for a target whose rate has just been limited.
	 * @param now the monotonic time in nanoseconds
	 * @param initialTokens the initial fill level, below 1; drawn at random, so that many
	 * entry instances do not all send their first request in the same second
	 */
	public SharedRateLimiter(long now, double initialTokens) {
		this.tokens = initialTokens;
		this.lastRefillNanos = now;
	}

	/**
	 * Takes a token for a request if one is available.
	 * @param perSecond the requests per second that the target can serve
	 * @param instances the number of entry instances that share this rate
	 * @param now the monotonic time in nanoseconds
	 * @return whether the request may be sent
	 */
	public boolean tryAcquire(double perSecond, int instances, long now) {
		double rate = perSecond / Math.max(1, instances);
		this.tokens = Math.min(MAX_TOKENS, this.tokens + rate * (now - this.lastRefillNanos) / NANOS_PER_SECOND);
		this.lastRefillNanos = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}

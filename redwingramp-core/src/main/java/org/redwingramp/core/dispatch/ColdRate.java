package org.redwingramp.core.dispatch;

/**
 * Limits the requests that one entry instance sends to a cold target, so that all entry
 * instances together stay within what it bears. A token bucket. Not thread safe.
 */
public final class ColdRate {

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * One request at a time: several entry instances may send theirs in the same second.
	 */
	private static final double MOST_TOKENS = 1;

	private double tokens;

	private long filledNanos;

	/**
	 * Creates a bucket for a target that has just become cold.
	 * @param now the monotonic time in nanoseconds
	 * @param firstTokens what it holds, below 1; drawn at random, so that many entry
	 * instances don't all send their first request in the same second
	 */
	public ColdRate(long now, double firstTokens) {
		this.tokens = firstTokens;
		this.filledNanos = now;
	}

	/**
	 * Takes a request's token.
	 * @param perSecond the requests a second that the target bears
	 * @param instances the entry instances that share them
	 * @param now the monotonic time in nanoseconds
	 * @return whether the request may be sent
	 */
	public boolean tryTake(double perSecond, int instances, long now) {
		double rate = perSecond / Math.max(1, instances);
		this.tokens = Math.min(MOST_TOKENS, this.tokens + rate * (now - this.filledNanos) / NANOS_PER_SECOND);
		this.filledNanos = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}

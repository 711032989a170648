package org.redwingramp.core.routing.internal;

import org.redwingramp.core.routing.RetryBudget;

/**
 * A token bucket to which each first attempt adds a fraction of a token, and from which
 * each retry takes one. Not thread safe; callers guard it with a lock.
 *
 * <p>
 * Invariant: over any sequence of requests, the number of retries is at most the given
 * fraction of the requests plus the unused retries kept before the sequence.
 */
public final class RatioRetryBudget implements RetryBudget {

	/** The cost of a retry. Tokens are counted in millionths, so that sums are exact. */
	private static final long RETRY_TOKENS = 1_000_000;

	private final long tokensPerRequest;

	private long maxTokens;

	private long tokens;

	/**
	 * Creates the budget.
	 * @param share the fraction of first attempts that may be retried, from 0 to 1
	 * @param maxUnused the number of retries available at first, and the maximum number
	 * of unused retries
	 */
	public RatioRetryBudget(double share, int maxUnused) {
		if (share < 0 || share > 1 || maxUnused < 0) {
			throw new IllegalArgumentException("retry share must be between 0 and 1 (was " + share
					+ ") and the maximum number of unused retries must not be negative (was " + maxUnused + ")");
		}
		this.tokensPerRequest = Math.round(share * RETRY_TOKENS);
		this.tokens = maxUnused * RETRY_TOKENS;
		limitUnusedRetries(maxUnused);
	}

	@Override
	public void firstAttemptSent() {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.tokensPerRequest);
	}

	@Override
	public void limitUnusedRetries(int maxUnused) {
		// With a maximum below one retry, the tokens would never suffice for a retry.
		this.maxTokens = Math.max(1, maxUnused) * RETRY_TOKENS;
		this.tokens = Math.min(this.maxTokens, this.tokens);
	}

	@Override
	public boolean tryRetry() {
		boolean allowed = this.tokens >= RETRY_TOKENS;
		if (allowed) {
			this.tokens -= RETRY_TOKENS;
		}
		return allowed;
	}

}

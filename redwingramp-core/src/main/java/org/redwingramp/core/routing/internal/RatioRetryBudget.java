package org.redwingramp.core.routing.internal;

import org.redwingramp.core.routing.RetryBudget;

/**
 * A token bucket that is filled by first sends. Not thread safe; a lock guards it.
 *
 * <p>
 * Invariant: over any run of requests the retries number at most the share of them plus
 * the first minimum.
 */
public final class RatioRetryBudget implements RetryBudget {

	/** Tokens are counted in millionths, so that sums are exact. */
	private static final long RETRY = 1_000_000;

	private final long share;

	private long most;

	private long tokens;

	/**
	 * Creates the budget.
	 * @param share the share of first sends that may be retried
	 * @param minimum the retries allowed at first and saved up at most
	 */
	public RatioRetryBudget(double share, int minimum) {
		if (share < 0 || share > 1 || minimum < 0) {
			throw new IllegalArgumentException("retry share " + share + " is outside 0 to 1 or minimum " + minimum
					+ " is negative; correct the settings");
		}
		this.share = Math.round(share * RETRY);
		this.tokens = minimum * RETRY;
		saveAtMost(minimum);
	}

	@Override
	public void requested() {
		this.tokens = Math.min(this.most, this.tokens + this.share);
	}

	@Override
	public void saveAtMost(int minimum) {
		// Below one whole token nothing could ever be saved up to a retry.
		this.most = Math.max(1, minimum) * RETRY;
		this.tokens = Math.min(this.most, this.tokens);
	}

	@Override
	public boolean tryRetry() {
		boolean allowed = this.tokens >= RETRY;
		if (allowed) {
			this.tokens -= RETRY;
		}
		return allowed;
	}

}

package org.redwingramp.core.routing;

import org.redwingramp.core.routing.internal.RatioRetryBudget;

/**
 * Creates {@link RetryBudget retry budgets}. Stateless and thread safe.
 */
public final class RetryBudgets {

	/** Default fraction of requests that may be retried; retries add at most 10% load. */
	public static final double DEFAULT_SHARE = 0.1;

	private RetryBudgets() {
	}

	/**
	 * Creates a budget that allows retries as a fraction of the first attempts.
	 * @param share the fraction, from 0 to 1
	 * @param maxUnused the number of retries available before the first request, and the
	 * maximum number of unused retries kept for a burst
	 * @return the budget
	 */
	public static RetryBudget ratio(double share, int maxUnused) {
		return new RatioRetryBudget(share, maxUnused);
	}

}

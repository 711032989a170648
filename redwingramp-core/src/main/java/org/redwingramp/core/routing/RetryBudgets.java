package org.redwingramp.core.routing;

import org.redwingramp.core.routing.internal.RatioRetryBudget;

/**
 * Creates retry budgets. Stateless and thread safe.
 */
public final class RetryBudgets {

	/** The share of retries that the design allows: they add at most 10% load. */
	public static final double DEFAULT_SHARE = 0.1;

	private RetryBudgets() {
	}

	/**
	 * Creates a budget that allows a share of the first sends as retries.
	 * @param share the share, from 0 to 1
	 * @param minimum the number of retries allowed before any request was counted, and
	 * the largest number saved up for a burst
	 * @return the budget
	 */
	public static RetryBudget ratio(double share, int minimum) {
		return new RatioRetryBudget(share, minimum);
	}

}

package org.redwingramp.core.routing;

/**
 * Limits retries and hedges to a fraction of the requests, so that failures don't
 * multiply the load. Not thread safe; callers guard it with a lock.
 */
public interface RetryBudget {

	/** Records the first attempt of a request, which adds its fraction of a retry. */
	void firstAttemptSent();

	/**
	 * Changes the maximum number of unused retries that the budget keeps. Retries above
	 * the new maximum are dropped; a higher maximum adds none.
	 * @param maxUnused the maximum number of unused retries; 0 counts as 1
	 */
	void limitUnusedRetries(int maxUnused);

	/**
	 * Takes one retry from the budget.
	 * @return whether the retry may be sent
	 */
	boolean tryRetry();

}

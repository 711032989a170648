package org.redwingramp.core.routing;

/**
 * Limits retries and hedges to a share of the requests, so that failures don't multiply
 * the load. Not thread safe; a lock guards it.
 */
public interface RetryBudget {

	/** Counts a first send. */
	void requested();

	/**
	 * Changes how many retries may be saved up. More than that are dropped, none are
	 * added.
	 * @param minimum the number of retries
	 */
	void saveAtMost(int minimum);

	/**
	 * Takes one retry from the budget.
	 * @return whether the retry may be sent
	 */
	boolean tryRetry();

}

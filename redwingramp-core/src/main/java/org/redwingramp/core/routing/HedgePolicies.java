package org.redwingramp.core.routing;

import org.redwingramp.core.routing.internal.NoHedgePolicy;
import org.redwingramp.core.routing.internal.QuantileHedgePolicy;

/**
 * Creates hedge policies. Stateless and thread safe.
 */
public final class HedgePolicies {

	/** The quantile of the observed times after which a hedge is due. */
	public static final double DEFAULT_QUANTILE = 0.95;

	private HedgePolicies() {
	}

	/**
	 * Creates a policy that hedges a request once it takes longer than most others.
	 * @param quantile the quantile of the observed times that gives the delay, from 0 to
	 * 1
	 * @param budget the service's retry budget
	 * @return the policy
	 */
	public static HedgePolicy quantile(double quantile, RetryBudget budget) {
		return new QuantileHedgePolicy(quantile, budget);
	}

	/**
	 * Creates the policy of services that are divided by key, whose keys have one owner:
	 * no hedges.
	 * @return the policy
	 */
	public static HedgePolicy none() {
		return new NoHedgePolicy();
	}

}

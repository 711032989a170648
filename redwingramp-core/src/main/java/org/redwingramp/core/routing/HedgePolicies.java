package org.redwingramp.core.routing;

import org.redwingramp.core.routing.internal.NoHedgePolicy;
import org.redwingramp.core.routing.internal.QuantileHedgePolicy;

/**
 * Creates {@link HedgePolicy hedge policies}. Stateless and thread safe.
 */
public final class HedgePolicies {

	/**
	 * The default quantile of the observed response times that is used as the hedge
	 * delay.
	 */
	public static final double DEFAULT_QUANTILE = 0.95;

	private HedgePolicies() {
	}

	/**
	 * Creates a policy that hedges a request once it has been in flight for longer than a
	 * quantile of the observed response times.
	 * @param quantile the quantile of the observed response times that is used as the
	 * delay, from 0 to 1
	 * @param budget the service's retry budget
	 * @return the policy
	 */
	public static HedgePolicy quantile(double quantile, RetryBudget budget) {
		return new QuantileHedgePolicy(quantile, budget);
	}

	/**
	 * Creates a policy that never hedges, for services with partitioned keys: each key
	 * has a single owner, so that no second target could process the request.
	 * @return the policy
	 */
	public static HedgePolicy none() {
		return new NoHedgePolicy();
	}

}

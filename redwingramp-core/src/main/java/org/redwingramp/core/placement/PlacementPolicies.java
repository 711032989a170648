package org.redwingramp.core.placement;

import org.redwingramp.core.placement.internal.BalancedPolicy;
import org.redwingramp.core.placement.internal.PlainHashPolicy;

/**
 * Creates placement policies. Stateless and thread safe.
 */
public final class PlacementPolicies {

	private PlacementPolicies() {
	}

	/**
	 * Creates the policy that balances the load with few moves.
	 * @return the policy
	 */
	public static PlacementPolicy balanced() {
		return new BalancedPolicy();
	}

	/**
	 * Creates the policy that places each shard by its hash modulo the number of targets.
	 * A baseline for measurements; it ignores loads and weights.
	 * @return the policy
	 */
	public static PlacementPolicy plainHash() {
		return new PlainHashPolicy();
	}

}

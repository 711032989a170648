package org.redwingramp.core.placement;

import org.redwingramp.core.placement.internal.BalancedPolicy;
import org.redwingramp.core.placement.internal.HashModuloPolicy;

/**
 * Creates {@link PlacementPolicy placement policies}. Stateless and thread safe.
 */
public final class PlacementPolicies {

	private PlacementPolicies() {
	}

	/**
	 * Creates a policy that balances the load with few moves.
	 * @return the policy
	 */
	public static PlacementPolicy balanced() {
		return new BalancedPolicy();
	}

	/**
	 * Creates a policy that assigns each shard by its hash modulo the number of targets.
	 * It ignores loads and weights; benchmarks use it as the baseline.
	 * @return the policy
	 */
	public static PlacementPolicy hashModulo() {
		return new HashModuloPolicy();
	}

}

package org.redwingramp.core.routing;

import java.util.random.RandomGenerator;

import org.redwingramp.core.routing.internal.PowerOfTwoChooser;
import org.redwingramp.core.routing.internal.RoundRobinChooser;

/**
 * Creates {@link TargetChooser target choosers}. Stateless and thread safe.
 */
public final class TargetChoosers {

	private TargetChoosers() {
	}

	/**
	 * Creates a chooser that picks two targets at random and selects the one with the
	 * shorter expected wait. Ejected targets are used only if there is no other
	 * candidate.
	 * @param random the source of randomness
	 * @return the chooser
	 */
	public static TargetChooser powerOfTwo(RandomGenerator random) {
		return new PowerOfTwoChooser(random);
	}

	/**
	 * Creates a round-robin chooser, which ignores load and ejections. Benchmarks use it
	 * as the baseline.
	 * @return the chooser
	 */
	public static TargetChooser roundRobin() {
		return new RoundRobinChooser();
	}

}

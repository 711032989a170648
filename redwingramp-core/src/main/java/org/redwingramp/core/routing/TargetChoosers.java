package org.redwingramp.core.routing;

import java.util.random.RandomGenerator;

import org.redwingramp.core.routing.internal.PowerOfTwoChooser;
import org.redwingramp.core.routing.internal.RoundRobinChooser;

/**
 * Creates target choosers. Stateless and thread safe.
 */
public final class TargetChoosers {

	private TargetChoosers() {
	}

	/**
	 * Creates a chooser that draws two targets and takes the one with the shorter
	 * expected wait. Ejected targets are used only if no other candidate is left.
	 * @param random the source of the draws
	 * @return the chooser
	 */
	public static TargetChooser powerOfTwo(RandomGenerator random) {
		return new PowerOfTwoChooser(random);
	}

	/**
	 * Creates the baseline, which takes the targets in turn regardless of load and
	 * ejection.
	 * @return the chooser
	 */
	public static TargetChooser roundRobin() {
		return new RoundRobinChooser();
	}

}

package org.redwingramp.core.routing;

/**
 * The settings of straggler detection. Immutable and thread safe.
 *
 * @param threshold the ratio of a target's service time to the median above which it
 * counts as slow
 * @param minimumAnswers the number of answers before a target is judged
 * @param firstEjectionNanos the length of a first ejection in nanoseconds
 * @param longestEjectionNanos the longest ejection in nanoseconds; the length doubles
 * while a target stays slow
 */
public record StragglerSettings(double threshold, int minimumAnswers, long firstEjectionNanos,
		long longestEjectionNanos) {

	/** The settings in use. */
	public static final StragglerSettings DEFAULT = new StragglerSettings(2, 8, 1_000_000_000L, 8_000_000_000L);

}

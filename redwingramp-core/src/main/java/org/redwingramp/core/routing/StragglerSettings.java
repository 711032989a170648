package org.redwingramp.core.routing;

/**
 * The settings of a {@link StragglerDetector}. Immutable and thread safe.
 *
 * @param threshold the ratio of a target's mean service time to the median of the targets
 * above which the target is a straggler
 * @param minResponses the number of responses that are required before a target can be
 * classified
 * @param initialEjectionNanos the duration of a target's first ejection in nanoseconds
 * @param maxEjectionNanos the maximum duration of an ejection in nanoseconds; the
 * duration doubles with each ejection while the target remains slow
 */
public record StragglerSettings(double threshold, int minResponses, long initialEjectionNanos, long maxEjectionNanos) {

	/** The default settings. */
	public static final StragglerSettings DEFAULT = new StragglerSettings(2, 8, 1_000_000_000L, 8_000_000_000L);

}

package org.redwingramp.core.observation;

/**
 * Something that an entry instance observed, as it is sent between processes. Since their
 * clocks differ, it contains its age at the time of sending. Immutable and thread safe.
 *
 * @param kind what was observed
 * @param subject what it was observed of, for example the name of a target
 * @param value the observed value, or {@link #NONE}
 * @param ageMillis the time since the observation, in milliseconds
 */
public record Observation(ObservationKind kind, String subject, double value, long ageMillis) {

	/** The value if what was observed before doesn't hold any more. */
	public static final double NONE = -1;

	/** Estimated encoded size of an observation, rounded up. */
	public static final int ESTIMATED_BYTES = 110;

}

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

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** The value if what was observed before doesn't hold any more. */
	public static final double NONE = -1;

	/** Maximum length of a subject; each process keeps many of them. */
	private static final int MAX_SUBJECT_CHARS = 1000;

	/** Estimated encoded size of an observation, rounded up. */
	public static final int ESTIMATED_BYTES = 110;

	/**
	 * Returns whether the observation can be used. One with an age out of bounds could
	 * outdate all later ones.
	 * @return whether its value is a number, its subject is bounded and it is still valid
	 */
	public boolean plausible() {
		return (this.value == NONE || (this.value >= 0 && this.value <= Double.MAX_VALUE))
				&& this.subject.length() <= MAX_SUBJECT_CHARS && this.ageMillis >= 0
				&& this.ageMillis <= this.kind.validityNanos() / NANOS_PER_MILLI;
	}

}

package org.redwingramp.core.observation;

/**
 * What an observation is about, how long it is valid and how many are kept. The constant
 * names are part of the encoding between processes. Immutable and thread safe.
 */
public enum ObservationKind {

	/**
	 * The request rate that a target accepts from all entry instances together. The
	 * subject is the target's name, the value the requests per second.
	 */
	TARGET_LIMIT(30_000, 2048);

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Repetitions of an observation are published this often in its validity. */
	private static final int REFRESHES_PER_VALIDITY = 3;

	private final long validityMillis;

	private final int maxSubjects;

	ObservationKind(long validityMillis, int maxSubjects) {
		this.validityMillis = validityMillis;
		this.maxSubjects = maxSubjects;
	}

	/**
	 * Returns for how long an observation is used unless it is repeated.
	 * @return the validity in nanoseconds
	 */
	public long validityNanos() {
		return this.validityMillis * NANOS_PER_MILLI;
	}

	/**
	 * Returns how many subjects are kept; beyond it, those observed longest ago are
	 * dropped.
	 * @return the maximum number of subjects
	 */
	public int maxSubjects() {
		return this.maxSubjects;
	}

	long refreshNanos() {
		return validityNanos() / REFRESHES_PER_VALIDITY;
	}

}

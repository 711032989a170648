package org.redwingramp.core.observation;

import java.util.Comparator;

import org.redwingramp.core.observation.ObservationTable.Observed;

/**
 * What an observation is about, how long it is valid, how many are kept, and how two
 * observations of the same subject are merged. The constant names are part of the
 * encoding between processes. Immutable and thread safe.
 */
public enum ObservationKind {

	/**
	 * The request rate that a target accepts from all entry instances together. The
	 * subject is the target's name, the value the requests per second.
	 */
	TARGET_LIMIT(30_000, 2048, Comparator.comparingLong(Observed::observedNanos)) {

		@Override
		Observed merge(Observed known, Observed next) {
			return (next.observedNanos() - known.observedNanos() >= 0) ? next : known;
		}

	},

	/**
	 * How many targets crashed while they ran a request. The subject is the digest of the
	 * request; {@link Observation#NONE} states that a target answered it. The entry
	 * instance that observes a crash counts it, so the higher of two counts holds and
	 * copies that arrive late or again change nothing.
	 */
	CRASHED(1_800_000, 512, Comparator.comparingDouble(Observed::value).thenComparingLong(Observed::observedNanos)) {

		@Override
		Observed merge(Observed known, Observed next) {
			Observed later = (next.observedNanos() - known.observedNanos() >= 0) ? next : known;
			if (known.value() == Observation.NONE || next.value() == Observation.NONE) {
				return later;
			}
			return new Observed(this, known.subject(), Math.max(known.value(), next.value()), later.observedNanos());
		}

	};

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Repetitions of an observation are published this often in its validity. */
	private static final int REFRESHES_PER_VALIDITY = 3;

	private final long validityMillis;

	private final int maxSubjects;

	private final Comparator<Observed> leastImportantFirst;

	ObservationKind(long validityMillis, int maxSubjects, Comparator<Observed> leastImportantFirst) {
		this.validityMillis = validityMillis;
		this.maxSubjects = maxSubjects;
		this.leastImportantFirst = leastImportantFirst;
	}

	// Returns the observation that replaces two of the same subject.
	abstract Observed merge(Observed known, Observed next);

	// Returns the order in which observations are dropped if there are too many.
	Comparator<Observed> leastImportantFirst() {
		return this.leastImportantFirst;
	}

	/**
	 * Returns for how long an observation is used unless it is repeated.
	 * @return the validity in nanoseconds
	 */
	public long validityNanos() {
		return this.validityMillis * NANOS_PER_MILLI;
	}

	/**
	 * Returns how many subjects are kept; beyond it, the least important ones are
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

package org.redwingramp.core.ownership;

/**
 * What became of a grant. Immutable and thread safe.
 */
public enum GrantOutcome {

	/** The target confirmed it. */
	CONFIRMED,

	/** The target has seen a higher fence on one of the keys. */
	HIGHER_FENCE_SEEN,

	/** No answer; the grant may take effect at any later time. */
	UNKNOWN

}

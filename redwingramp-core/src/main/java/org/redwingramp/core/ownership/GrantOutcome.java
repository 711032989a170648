package org.redwingramp.core.ownership;

/**
 * What became of a grant. Immutable and thread safe.
 */
public enum GrantOutcome {

	/** The target confirmed it. */
	CONFIRMED,

	/** The target has seen a higher fence on one of the keys. */
	HIGHER_FENCE_SEEN,

	/** Another target answers at the address, so the one that was meant has ended. */
	OTHER_TARGET,

	/** The connection was refused or not established, so nothing was sent. */
	NOT_SENT,

	/** No answer; the grant may take effect at any later time. */
	UNKNOWN

}

package org.redwingramp.core.ownership;

/**
 * The result of a grant call to a target. Immutable and thread safe.
 */
public enum GrantOutcome {

	/** The target confirmed the grant. */
	CONFIRMED,

	/** The target refused the grant because it has seen a higher fence for a key. */
	HIGHER_FENCE_SEEN,

	/** A different target replied at the address, so the intended one has ended. */
	OTHER_TARGET,

	/**
	 * The server at the address replied that it doesn't take the call, for example
	 * because its service has no keys.
	 */
	REJECTED,

	/** No connection could be established, so the grant was not sent. */
	NOT_SENT,

	/** No reply was received; the grant may still take effect later. */
	UNKNOWN;

	/**
	 * Returns whether the intended target has received the grant and replied to it.
	 * @return whether it is certain that the target has processed the grant
	 */
	public boolean answeredByOwner() {
		return this == CONFIRMED || this == HIGHER_FENCE_SEEN;
	}

}

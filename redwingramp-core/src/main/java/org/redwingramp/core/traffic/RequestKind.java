package org.redwingramp.core.traffic;

/**
 * Whether a request may run more than once. Immutable and thread safe.
 */
public enum RequestKind {

	/** May run any number of times. */
	IDEMPOTENT(true),

	/** May run at most once for each attempt of a caller. */
	NON_IDEMPOTENT(false);

	private final boolean repeatable;

	RequestKind(boolean repeatable) {
		this.repeatable = repeatable;
	}

	/**
	 * Returns whether a request that may have run may be sent again.
	 * @return whether it may run more than once
	 */
	public boolean repeatable() {
		return this.repeatable;
	}

}

package org.redwingramp.core.traffic;

/**
 * Whether a request may run more than once. Immutable and thread safe.
 */
public enum RequestKind {

	/** The request may run any number of times. */
	IDEMPOTENT(true),

	/** The request may run at most once each time a caller sends it. */
	NON_IDEMPOTENT(false);

	private final boolean repeatable;

	RequestKind(boolean repeatable) {
		this.repeatable = repeatable;
	}

	/**
	 * Returns whether a request may be sent again after it may have run.
	 * @return whether the request may run more than once
	 */
	public boolean repeatable() {
		return this.repeatable;
	}

}

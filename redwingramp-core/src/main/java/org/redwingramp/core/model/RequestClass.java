package org.redwingramp.core.model;

/**
 * How often a request may run and how long it may wait. Immutable and thread safe.
 */
public enum RequestClass {

	/** A request that may run again without further effect. */
	IDEMPOTENT(true, 0),

	/** A request that runs at most once, for example a booking. */
	AT_MOST_ONCE(false, 0),

	/** A request that runs at most once and gives way to others under load. */
	DEFERRABLE(false, 1);

	private final boolean retryable;

	private final int priority;

	RequestClass(boolean retryable, int priority) {
		this.retryable = retryable;
		this.priority = priority;
	}

	/**
	 * Returns whether the request may be sent again after an unknown outcome.
	 * @return {@code true} only for idempotent requests
	 */
	public boolean retryable() {
		return this.retryable;
	}

	/**
	 * Returns whether the request's identity must be recorded before it is sent.
	 * @return {@code true} for requests that run at most once
	 */
	public boolean recorded() {
		return !this.retryable;
	}

	/**
	 * Returns the place in the admission queue.
	 * @return the priority, lower values go first
	 */
	public int priority() {
		return this.priority;
	}

}

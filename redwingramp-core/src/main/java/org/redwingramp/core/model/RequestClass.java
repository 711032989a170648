package org.redwingramp.core.model;

/**
 * Classifies requests by whether they may run more than once and by their priority.
 * Immutable and thread safe.
 */
public enum RequestClass {

	/** A request that can run more than once without further effect. */
	IDEMPOTENT(true, 0),

	/** A request that runs at most once, for example a booking. */
	AT_MOST_ONCE(false, 0),

	/** A request that runs at most once and is queued after others under load. */
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
	 * Returns the priority in the admission queue.
	 * @return the priority; requests with a lower value are admitted first
	 */
	public int priority() {
		return this.priority;
	}

}

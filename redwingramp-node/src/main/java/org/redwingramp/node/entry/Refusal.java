package org.redwingramp.node.entry;

/**
 * The reason why the router responds to a caller itself instead of forwarding the
 * response of a target, with the HTTP status of that response. The constant names are
 * written to the log and to metric labels. Immutable and thread safe.
 */
enum Refusal {

	/** No configuration has been received yet. */
	NO_CONFIG(503),

	/** The request has no identifier or no key. */
	MALFORMED(400),

	/** No route matches the host and path of the request. */
	NO_ROUTE(404),

	/** The process stops before the deadline of the request. */
	STOPPING(503),

	/** The service has no usable target. */
	NO_TARGET(503),

	/**
	 * The key is being moved to another owner and won't be served before the deadline.
	 */
	KEY_MOVING(503),

	/** The request can't be served before its deadline. */
	OVERLOADED(503),

	/** The bodies of the requests in progress leave no memory for that of this one. */
	BODY_MEMORY(503),

	/** The rate limit of a target that is still warming up is exhausted. */
	COLD(503),

	/** Several targets crashed while they ran this request. */
	CRASHES_TARGETS(503),

	/** The rate limit that the target states is exhausted. */
	RATE_LIMITED(503),

	/** The target wants no requests of this entry instance for some time. */
	TARGET_PAUSED(503),

	/** The target reported that it didn't run the request. */
	TARGET_REFUSED(503),

	/** The target couldn't be reached, or is avoided after failed attempts. */
	UNREACHABLE(503),

	/**
	 * No message has been received from a control leader for so long that the owner of
	 * the key may be out of date.
	 */
	OUT_OF_TOUCH(503),

	/**
	 * This instance doesn't follow the leader, so its configuration and targets may be
	 * out of date, and other entry instances do.
	 */
	NOT_FOLLOWING(503),

	/** An unexpected exception occurred before the request was sent. */
	UNEXPECTED(503),

	/** The request may have run, but no complete response was received. */
	NO_ANSWER(502),

	/** The request may have run, but no response was received before the deadline. */
	TIMED_OUT(504);

	private final int status;

	Refusal(int status) {
		this.status = status;
	}

	int status() {
		return this.status;
	}

	// Returns whether the caller may safely send the same request again.
	boolean retryable() {
		return this.status == 503;
	}

}

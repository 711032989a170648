package org.redwingramp.node.entry;

/**
 * Why the router gives its own answer. Immutable and thread safe.
 */
enum Refusal {

	/** No configuration is known yet. */
	NO_CONFIG(503),

	/** The request has no identifier or no key. */
	MALFORMED(400),

	/** No route matches. */
	NO_ROUTE(404),

	/** No target of the service may be used. */
	NO_TARGET(503),

	/** The key changes hands and won't be served in time. */
	KEY_MOVING(503),

	/** The request can't be answered before its deadline. */
	OVERLOADED(503),

	/** A cold target bears no more requests now. */
	COLD(503),

	/** The target said that it didn't run the request. */
	TARGET_REFUSED(503),

	/** The target couldn't be reached. */
	UNREACHABLE(503),

	/** No control replica was heard for too long to know the owner of the key. */
	OUT_OF_TOUCH(503),

	/** The request may have run, but there is no whole answer. */
	NO_ANSWER(502),

	/** The request may have run, but there was no answer in time. */
	TIMED_OUT(504);

	private final int status;

	Refusal(int status) {
		this.status = status;
	}

	int status() {
		return this.status;
	}

	// Returns whether the caller may come back with the same request.
	boolean mayReturn() {
		return this.status == 503;
	}

}

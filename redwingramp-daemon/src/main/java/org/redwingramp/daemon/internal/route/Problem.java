package org.redwingramp.daemon.internal.route;

import java.util.Locale;

import org.redwingramp.core.model.Outcome;

/**
 * Why a request isn't answered by a target. The codes are part of the interface to
 * callers, see docs/CALLERS.md. Immutable and thread safe.
 */
public enum Problem {

	/** The path names no service. */
	UNKNOWN_SERVICE(404, Outcome.NOT_RUN, "no such service"),

	/** The path could be read in two ways. */
	BAD_PATH(400, Outcome.NOT_RUN, "the path is ambiguous"),

	/** The request has no key where the service record expects it. */
	NO_KEY(400, Outcome.NOT_RUN, "the request has no key"),

	/** The deadline isn't a positive number of milliseconds. */
	BAD_DEADLINE(400, Outcome.NOT_RUN, "the deadline is not a positive number of milliseconds"),

	/** The identity of a request that runs at most once is malformed. */
	BAD_IDENTITY(400, Outcome.NOT_RUN, "the request identity is malformed"),

	/** The body is larger than allowed. */
	BODY_TOO_LARGE(413, Outcome.NOT_RUN, "the body is too large"),

	/** The body ended early. */
	BODY_INCOMPLETE(400, Outcome.NOT_RUN, "the body is incomplete"),

	/** The same identity was used for different content. */
	IDENTITY_REUSED(422, Outcome.NOT_RUN, "the request identity was used for different content"),

	/** The identity is issued in the future. */
	NOT_YET_VALID(400, Outcome.NOT_RUN, "the request was issued in the future"),

	/** No valid credential. */
	UNAUTHORIZED(401, Outcome.NOT_RUN, "a valid credential is needed"),

	/** The instance is stopping. */
	STOPPING(503, Outcome.NOT_RUN, "the instance is stopping"),

	/** The instance has too many requests. */
	INSTANCE_OVERLOADED(503, Outcome.NOT_RUN, "the instance has too many requests"),

	/** The target's queue is full. */
	QUEUE_FULL(429, Outcome.NOT_RUN, "too many requests wait for the target"),

	/** The answer can't be there before the deadline. */
	DEADLINE_TOO_SHORT(503, Outcome.NOT_RUN, "the answer can't be there before the deadline"),

	/** The request gave way to others. */
	DISPLACED(429, Outcome.NOT_RUN, "the request gave way to requests that can't wait"),

	/** No target owns the key now, or its gate is not reachable. */
	NO_OWNER(503, Outcome.NOT_RUN, "no target serves the key now"),

	/** Control hasn't been heard. */
	CONTROL_SILENT(503, Outcome.NOT_RUN, "this instance hears nothing from control"),

	/** The request's identity could not be recorded. */
	NOT_RECORDED(503, Outcome.NOT_RUN, "the request identity could not be recorded"),

	/** The target refused the request without running it. */
	REFUSED_BY_TARGET(503, Outcome.NOT_RUN, "the target refused the request without running it"),

	/**
	 * The receiving instance isn't the gate of the target. Seen only between instances.
	 */
	WRONG_GATE(503, Outcome.NOT_RUN, "the instance is not the gate of the target"),

	/** No whole answer arrived. */
	NO_ANSWER(504, Outcome.UNKNOWN, "no whole answer arrived; the request may have run"),

	/** An earlier send of the same request may still run. */
	IN_PROGRESS(409, Outcome.UNKNOWN, "an earlier send of this request may still be running"),

	/** An earlier send of the same request may have run. */
	EARLIER_UNKNOWN(409, Outcome.UNKNOWN, "an earlier send of this request may have run"),

	/** An earlier send ran; its answer was too large to keep. */
	RAN_ANSWER_NOT_KEPT(409, Outcome.UNKNOWN, "an earlier send of this request ran; its answer was not kept"),

	/** The request is older than the ledger. */
	IDENTITY_EXPIRED(409, Outcome.UNKNOWN, "the request is too old to know whether it ran"),

	/** Something unexpected failed after the request may have been sent. */
	INTERNAL(502, Outcome.UNKNOWN, "the router failed; the request may have run");

	private final int status;

	private final Outcome outcome;

	private final String title;

	Problem(int status, Outcome outcome, String title) {
		this.status = status;
		this.outcome = outcome;
		this.title = title;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns what the caller may conclude.
	 * @return the outcome
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns what happened, for people.
	 * @return the title
	 */
	public String title() {
		return this.title;
	}

	/**
	 * Returns the code used in answers.
	 * @return the name in lower case with hyphens
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns whether another gate or a newer view may serve the request.
	 * @return whether the routing may try again
	 */
	public boolean reroutable() {
		return this == WRONG_GATE || this == NO_OWNER;
	}

}

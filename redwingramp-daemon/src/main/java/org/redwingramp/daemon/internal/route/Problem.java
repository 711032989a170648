package org.redwingramp.daemon.internal.route;

import java.util.Locale;

import org.redwingramp.core.model.Outcome;

/**
 * The reason why a request has no answer from a target. Codes, statuses and outcomes are
 * part of the public HTTP interface, see docs/CALLERS.md. Immutable and thread safe.
 */
public enum Problem {

	/** The first segment of the path names no service. */
	UNKNOWN_SERVICE(404, Outcome.NOT_RUN, "no such service"),

	/** The path is ambiguous: another spelling could mean another key or route rule. */
	BAD_PATH(400, Outcome.NOT_RUN, "the path is ambiguous"),

	/** The key is missing where the service record expects it, or it is too long. */
	NO_KEY(400, Outcome.NOT_RUN, "the request has no key"),

	/** The deadline isn't a positive number of milliseconds. */
	BAD_DEADLINE(400, Outcome.NOT_RUN, "the deadline is not a positive number of milliseconds"),

	/** The idempotency key or the time of issue is malformed. */
	BAD_IDENTITY(400, Outcome.NOT_RUN, "the request identity is malformed"),

	/** The body is larger than allowed. */
	BODY_TOO_LARGE(413, Outcome.NOT_RUN, "the body is too large"),

	/** The body ended early or did not arrive in time. */
	BODY_INCOMPLETE(400, Outcome.NOT_RUN, "the body is incomplete"),

	/** The same idempotency key was used before for different content. */
	IDENTITY_REUSED(422, Outcome.NOT_RUN, "the request identity was used for different content"),

	/** The time of issue lies too far in the future. */
	NOT_YET_VALID(400, Outcome.NOT_RUN, "the request was issued in the future"),

	/** The request carries no valid credential. */
	UNAUTHORIZED(401, Outcome.NOT_RUN, "a valid credential is needed"),

	/** The instance is shutting down. */
	STOPPING(503, Outcome.NOT_RUN, "the instance is stopping"),

	/** The instance has reached its limit of concurrent requests. */
	INSTANCE_OVERLOADED(503, Outcome.NOT_RUN, "the instance has too many requests"),

	/** The queue of requests that wait for the target is full. */
	QUEUE_FULL(429, Outcome.NOT_RUN, "too many requests wait for the target"),

	/** No answer is expected before the deadline. */
	DEADLINE_TOO_SHORT(503, Outcome.NOT_RUN, "the answer can't be there before the deadline"),

	/**
	 * The request was removed from the queue in favour of requests of higher priority.
	 */
	DISPLACED(429, Outcome.NOT_RUN, "the request gave way to requests that can't wait"),

	/** No target owns the key now, or its gate is not reachable. */
	NO_OWNER(503, Outcome.NOT_RUN, "no target serves the key now"),

	/**
	 * This instance has no valid view, because it has received nothing from the control
	 * group within the view's lifetime.
	 */
	CONTROL_SILENT(503, Outcome.NOT_RUN, "this instance hears nothing from control"),

	/** The request's identity could not be recorded in the ledger before the send. */
	NOT_RECORDED(503, Outcome.NOT_RUN, "the request identity could not be recorded"),

	/** The target refused the request without running it. */
	REFUSED_BY_TARGET(503, Outcome.NOT_RUN, "the target refused the request without running it"),

	/**
	 * The receiving instance doesn't hold the target's gate. Used between instances only.
	 */
	WRONG_GATE(503, Outcome.NOT_RUN, "the instance is not the gate of the target"),

	/** No complete answer arrived after the request may have been sent. */
	NO_ANSWER(504, Outcome.UNKNOWN, "no whole answer arrived; the request may have run"),

	/** An earlier send of the same request may still be running. */
	IN_PROGRESS(409, Outcome.UNKNOWN, "an earlier send of this request may still be running"),

	/** An earlier send of the same request may have run. */
	EARLIER_UNKNOWN(409, Outcome.UNKNOWN, "an earlier send of this request may have run"),

	/** An earlier send ran, but its answer was too large to be stored. */
	RAN_ANSWER_NOT_KEPT(409, Outcome.UNKNOWN, "an earlier send of this request ran; its answer was not kept"),

	/** The request is older than the retention period of the ledger. */
	IDENTITY_EXPIRED(409, Outcome.UNKNOWN, "the request is too old to know whether it ran"),

	/** An unexpected internal failure after the request may have been sent. */
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
	 * Returns what the caller may conclude about the execution of the request.
	 * @return the outcome
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns the human-readable summary, the title of the problem body.
	 * @return the title
	 */
	public String title() {
		return this.title;
	}

	/**
	 * Returns the code in the problem body and in log lines.
	 * @return the constant name in lower case with hyphens
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns whether nothing was sent and the request may succeed with a newer view.
	 * @return whether the router may look up the destination again
	 */
	public boolean reroutable() {
		return this == WRONG_GATE || this == NO_OWNER;
	}

}

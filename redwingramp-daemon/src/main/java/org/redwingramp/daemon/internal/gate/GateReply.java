package org.redwingramp.daemon.internal.gate;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.model.Outcome;
import org.redwingramp.daemon.internal.http.HeaderField;
import org.redwingramp.daemon.internal.route.Problem;

/**
 * What became of a request at its gate. Immutable by convention. Thread safe.
 *
 * @param problem why there is no answer, empty if there is one
 * @param detail what was found, for people
 * @param status the answer's HTTP status
 * @param headers the answer's headers that are passed on
 * @param body the answer's body
 * @param replayed whether the answer is the recorded one of an earlier send
 * @param targetFailed whether the failure speaks against the target
 * @param busy the target's started and waiting requests
 * @param serviceNanos the time that the target took, 0 if it wasn't asked
 */
public record GateReply(Optional<Problem> problem, String detail, int status, List<HeaderField> headers, byte[] body,
		boolean replayed, boolean targetFailed, int busy, long serviceNanos) {

	private static final byte[] NO_BYTES = {};

	public GateReply {
		headers = List.copyOf(headers);
	}

	/**
	 * Creates the reply to a request without an answer.
	 * @param problem why there is none
	 * @param detail what was found
	 * @return the reply
	 */
	public static GateReply refused(Problem problem, String detail) {
		return new GateReply(Optional.of(problem), detail, 0, List.of(), NO_BYTES, false, false, 0, 0);
	}

	/**
	 * Creates the reply to a request whose target failed.
	 * @param problem what the caller may conclude
	 * @param detail what was found
	 * @param serviceNanos how long it was waited for
	 * @return the reply
	 */
	public static GateReply failed(Problem problem, String detail, long serviceNanos) {
		return new GateReply(Optional.of(problem), detail, 0, List.of(), NO_BYTES, false, true, 0, serviceNanos);
	}

	/**
	 * Creates the reply with a target's answer.
	 * @param status the HTTP status
	 * @param headers the headers that are passed on
	 * @param body the body
	 * @param serviceNanos the time that the target took
	 * @return the reply
	 */
	public static GateReply answered(int status, List<HeaderField> headers, byte[] body, long serviceNanos) {
		return new GateReply(Optional.empty(), "", status, headers, body, false, false, 0, serviceNanos);
	}

	/**
	 * Creates the reply with a recorded answer.
	 * @param status the HTTP status
	 * @param headers the headers that are passed on
	 * @param body the body
	 * @return the reply
	 */
	public static GateReply replayed(int status, List<HeaderField> headers, byte[] body) {
		return new GateReply(Optional.empty(), "", status, headers, body, true, false, 0, 0);
	}

	/**
	 * Returns what is true of a request that was sent before. A refusal of this send says
	 * nothing about the earlier one, so the earlier reply counts if that may have run.
	 * @param earlier the reply to an earlier send
	 * @return the reply for the caller
	 */
	public GateReply after(GateReply earlier) {
		return (mayHaveRun(earlier) && notRun()) ? earlier : this;
	}

	private static boolean mayHaveRun(GateReply reply) {
		return reply.problem.filter((found) -> found.outcome() == Outcome.UNKNOWN).isPresent();
	}

	private boolean notRun() {
		return this.problem.filter((found) -> found.outcome() == Outcome.NOT_RUN).isPresent();
	}

	/**
	 * Returns the reply with the target's load.
	 * @param requests the target's started and waiting requests
	 * @return the reply
	 */
	public GateReply withBusy(int requests) {
		return new GateReply(this.problem, this.detail, this.status, this.headers, this.body, this.replayed,
				this.targetFailed, requests, this.serviceNanos);
	}

}

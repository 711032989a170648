package org.redwingramp.daemon.internal.gate;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.model.Outcome;
import org.redwingramp.daemon.internal.http.HeaderField;
import org.redwingramp.daemon.internal.route.Problem;

/**
 * The gate's reply to a request: a response of the target or the reason why there is
 * none. Immutable by convention: the body array must not be modified. Thread safe.
 *
 * @param problem why there is no response, empty if there is one
 * @param detail a human-readable explanation of the problem
 * @param status the HTTP status of the response
 * @param headers the forwarded headers of the response
 * @param body the body of the response
 * @param replayed whether the response was stored by an earlier attempt
 * @param targetFailed whether the failure counts against the target
 * @param busy the number of requests in flight to the target and waiting at its gate
 * @param serviceNanos the time from the first byte written to the target until the end of
 * the exchange, 0 if it was not measured
 */
public record GateReply(Optional<Problem> problem, String detail, int status, List<HeaderField> headers, byte[] body,
		boolean replayed, boolean targetFailed, int busy, long serviceNanos) {

	private static final byte[] NO_BYTES = {};

	public GateReply {
		headers = List.copyOf(headers);
	}

	/**
	 * Creates the reply to a request that has no response, for a reason that does not
	 * count against the target.
	 * @param problem why there is no response
	 * @param detail a human-readable explanation
	 * @return the reply
	 */
	public static GateReply refused(Problem problem, String detail) {
		return new GateReply(Optional.of(problem), detail, 0, List.of(), NO_BYTES, false, false, 0, 0);
	}

	/**
	 * Creates the reply to a request whose target failed.
	 * @param problem why there is no response
	 * @param detail a human-readable explanation
	 * @param serviceNanos the time from the first byte written until the failure, 0 if it
	 * was not measured
	 * @return the reply
	 */
	public static GateReply failed(Problem problem, String detail, long serviceNanos) {
		return new GateReply(Optional.of(problem), detail, 0, List.of(), NO_BYTES, false, true, 0, serviceNanos);
	}

	/**
	 * Creates the reply with a target's response.
	 * @param status the HTTP status
	 * @param headers the forwarded headers
	 * @param body the body
	 * @param serviceNanos the response time of the target
	 * @return the reply
	 */
	public static GateReply answered(int status, List<HeaderField> headers, byte[] body, long serviceNanos) {
		return new GateReply(Optional.empty(), "", status, headers, body, false, false, 0, serviceNanos);
	}

	/**
	 * Creates the reply with a response that an earlier attempt stored in the ledger.
	 * @param status the HTTP status
	 * @param headers the forwarded headers
	 * @param body the body
	 * @return the reply
	 */
	public static GateReply replayed(int status, List<HeaderField> headers, byte[] body) {
		return new GateReply(Optional.empty(), "", status, headers, body, true, false, 0, 0);
	}

	/**
	 * Returns the reply for the caller of a request that was sent before. If the request
	 * did not run on this attempt but may have run on the earlier one, its outcome is
	 * still unknown, so the earlier reply is returned.
	 * @param earlier the reply to the earlier attempt
	 * @return the reply for the caller
	 */
	public GateReply combineWithEarlier(GateReply earlier) {
		return (mayHaveRun(earlier) && notRun()) ? earlier : this;
	}

	private static boolean mayHaveRun(GateReply reply) {
		return reply.problem.filter((cause) -> cause.outcome() == Outcome.UNKNOWN).isPresent();
	}

	private boolean notRun() {
		return this.problem.filter((cause) -> cause.outcome() == Outcome.NOT_RUN).isPresent();
	}

	/**
	 * Returns a copy of this reply with the load of the target.
	 * @param requests the number of requests in flight to the target and waiting at its
	 * gate
	 * @return the copy
	 */
	public GateReply withTargetLoad(int requests) {
		return new GateReply(this.problem, this.detail, this.status, this.headers, this.body, this.replayed,
				this.targetFailed, requests, this.serviceNanos);
	}

}

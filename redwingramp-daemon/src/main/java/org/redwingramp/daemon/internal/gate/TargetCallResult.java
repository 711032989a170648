package org.redwingramp.daemon.internal.gate;

import java.util.List;

import org.redwingramp.daemon.internal.http.HeaderField;

/**
 * The result of sending a request to a target. All implementations are records that are
 * immutable by convention and thread safe.
 */
sealed interface TargetCallResult {

	/**
	 * The target's complete response to this request.
	 *
	 * @param status the HTTP status
	 * @param headers the forwarded headers
	 * @param body the body
	 * @param serviceNanos the time from the first byte written until the response was
	 * complete
	 */
	record Complete(int status, List<HeaderField> headers, byte[] body, long serviceNanos) implements TargetCallResult {
	}

	/**
	 * The gate did not assign a slot, so nothing was sent.
	 *
	 * @param refusal the gate's reply, which states the reason
	 */
	record NotAdmitted(GateReply refusal) implements TargetCallResult {
	}

	/**
	 * No byte was written to the target.
	 *
	 * @param reason why nothing was sent
	 * @param permitted whether the leases and the view permitted sending, so that the
	 * failure counts against the target
	 */
	record NotSent(String reason, boolean permitted) implements TargetCallResult {
	}

	/**
	 * The target reported that it did not run this request, which it identified.
	 *
	 * @param status the HTTP status
	 * @param serviceNanos the time from the first byte written until the response was
	 * complete
	 */
	record RefusedByTarget(int status, long serviceNanos) implements TargetCallResult {
	}

	/**
	 * Bytes may have been written, but no valid complete response was received, so the
	 * request may have run.
	 *
	 * @param reason why there is no response
	 * @param waitedNanos the time from the first byte written until the failure, 0 if it
	 * was not measured
	 * @param cancelled whether the call was cancelled, so that the failure does not count
	 * against the target
	 */
	record OutcomeUnknown(String reason, long waitedNanos, boolean cancelled) implements TargetCallResult {
	}

}

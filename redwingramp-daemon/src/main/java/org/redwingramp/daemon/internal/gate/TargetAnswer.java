package org.redwingramp.daemon.internal.gate;

import java.util.List;

import org.redwingramp.daemon.internal.http.HeaderField;

/**
 * How a request to a target ended. All implementations are immutable records and thread
 * safe.
 */
sealed interface TargetAnswer {

	/**
	 * The target's whole answer to this request.
	 *
	 * @param status the HTTP status
	 * @param headers the headers that are passed on
	 * @param body the body
	 * @param serviceNanos the time from the first byte written to the whole answer
	 */
	record Whole(int status, List<HeaderField> headers, byte[] body, long serviceNanos) implements TargetAnswer {
	}

	/**
	 * The gate gave no slot, so nothing was sent.
	 *
	 * @param refusal the gate's refusal
	 */
	record NotAdmitted(GateReply refusal) implements TargetAnswer {
	}

	/**
	 * No byte was written.
	 *
	 * @param reason why
	 * @param permitted whether sending was permitted, so that the failure is the target's
	 */
	record NotSent(String reason, boolean permitted) implements TargetAnswer {
	}

	/**
	 * The target answered that it didn't run this very request.
	 *
	 * @param status the HTTP status
	 * @param serviceNanos the time from the first byte written to the answer
	 */
	record RefusedByTarget(int status, long serviceNanos) implements TargetAnswer {
	}

	/**
	 * Bytes may have been written and there is no whole answer.
	 *
	 * @param reason why
	 * @param waitedNanos how long it was waited for
	 * @param cancelled whether the caller went away
	 */
	record Lost(String reason, long waitedNanos, boolean cancelled) implements TargetAnswer {
	}

}

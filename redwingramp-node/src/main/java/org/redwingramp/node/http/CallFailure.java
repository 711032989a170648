package org.redwingramp.node.http;

/**
 * Why a call has no answer. Immutable and thread safe.
 *
 * @param cause what happened
 * @param mayHaveRun whether a byte of the request may have reached the target
 */
public record CallFailure(Cause cause, boolean mayHaveRun) {

	/** What can end a call. */
	public enum Cause {

		/** The connection was refused or couldn't be established in time. */
		NOT_CONNECTED,

		/** The connection was reset or closed before the whole answer. */
		BROKEN_OFF,

		/** The bytes are no answer in the protocol. */
		MALFORMED,

		/** No answer within the time of the call. */
		TIMED_OUT

	}

}

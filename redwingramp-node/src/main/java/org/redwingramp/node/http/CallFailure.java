package org.redwingramp.node.http;

/**
 * Describes why a call to a target got no response. Immutable and thread safe.
 *
 * @param cause the reason
 * @param mayHaveRun whether part of the request may have reached the target, so that it
 * may have run
 */
public record CallFailure(Cause cause, boolean mayHaveRun) {

	/** The reasons for which a call fails. */
	public enum Cause {

		/**
		 * The connection was refused or couldn't be established within the connect
		 * timeout.
		 */
		NOT_CONNECTED,

		/** The connection was reset or closed before the response was complete. */
		BROKEN_OFF,

		/** The received bytes are no valid HTTP response or exceed a size limit. */
		MALFORMED,

		/** No complete response arrived before the timeout of the call. */
		TIMED_OUT

	}

}

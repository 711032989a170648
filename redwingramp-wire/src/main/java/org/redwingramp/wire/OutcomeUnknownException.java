package org.redwingramp.wire;

/**
 * Thrown when a call was sent but no valid reply was received, so it may have had an
 * effect. Immutable and thread safe.
 */
public final class OutcomeUnknownException extends Exception {

	/**
	 * Creates an exception.
	 * @param message the failure, the peer concerned and the remedy
	 */
	public OutcomeUnknownException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message the failure, the peer concerned and the remedy
	 * @param cause the underlying failure
	 */
	public OutcomeUnknownException(String message, Throwable cause) {
		super(message, cause);
	}

}

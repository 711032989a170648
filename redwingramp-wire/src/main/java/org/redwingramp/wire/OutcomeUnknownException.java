package org.redwingramp.wire;

/**
 * A call was sent, but no valid answer came: it may have had its effect. Immutable and
 * thread safe.
 */
public final class OutcomeUnknownException extends Exception {

	/**
	 * Creates an exception.
	 * @param message what happened, where, and what to do
	 */
	public OutcomeUnknownException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message what happened, where, and what to do
	 * @param cause the cause
	 */
	public OutcomeUnknownException(String message, Throwable cause) {
		super(message, cause);
	}

}

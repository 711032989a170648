package org.redwingramp.wire;

/**
 * A call can't have had an effect: it was not sent as a whole, or the peer refused it.
 * Immutable and thread safe.
 */
public final class NotSentException extends Exception {

	/**
	 * Creates an exception.
	 * @param message what happened, where, and what to do
	 */
	public NotSentException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message what happened, where, and what to do
	 * @param cause the cause
	 */
	public NotSentException(String message, Throwable cause) {
		super(message, cause);
	}

}

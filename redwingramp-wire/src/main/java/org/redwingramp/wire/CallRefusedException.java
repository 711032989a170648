package org.redwingramp.wire;

/**
 * A call had no effect and will have none; the caller may try elsewhere. Immutable and
 * thread safe.
 */
public final class CallRefusedException extends Exception {

	/**
	 * Creates an exception.
	 * @param message what happened, where, and what to do
	 */
	public CallRefusedException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message what happened, where, and what to do
	 * @param cause the cause
	 */
	public CallRefusedException(String message, Throwable cause) {
		super(message, cause);
	}

}

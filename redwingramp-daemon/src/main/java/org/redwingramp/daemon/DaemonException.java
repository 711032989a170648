package org.redwingramp.daemon;

/**
 * Thrown if a daemon can't be started or stopped. Immutable and thread safe.
 */
public final class DaemonException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed and what to do about it
	 * @param cause the cause, whose message is appended
	 */
	public DaemonException(String message, Throwable cause) {
		super(message + ": " + cause.getMessage(), cause);
	}

}

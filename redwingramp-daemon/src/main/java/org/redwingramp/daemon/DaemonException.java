package org.redwingramp.daemon;

/**
 * A daemon can't be started or stopped. Immutable and thread safe.
 */
public final class DaemonException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what was tried and what to do
	 * @param cause why it failed
	 */
	public DaemonException(String message, Throwable cause) {
		super(message + ": " + cause.getMessage(), cause);
	}

}

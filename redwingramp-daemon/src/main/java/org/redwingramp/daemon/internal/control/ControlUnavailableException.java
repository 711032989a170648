package org.redwingramp.daemon.internal.control;

/**
 * Control can't be reached and certainly did nothing. Immutable and thread safe.
 */
public final class ControlUnavailableException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what was tried and what happened
	 */
	public ControlUnavailableException(String message) {
		super(message, null, false, false);
	}

}

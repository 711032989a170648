package org.redwingramp.daemon.internal.control;

/**
 * Control may or may not have done what it was asked. Immutable and thread safe.
 */
public final class ControlUndecidedException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what was tried and what happened
	 */
	public ControlUndecidedException(String message) {
		super(message, null, false, false);
	}

}

package org.redwingramp.daemon.internal.control;

/**
 * Thrown if no control leader was reached and the call certainly had no effect. Immutable
 * and thread safe.
 */
public final class ControlUnavailableException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what was attempted and why it failed
	 */
	public ControlUnavailableException(String message) {
		super(message, null, false, false);
	}

}

package org.redwingramp.daemon.internal.control;

/**
 * Thrown if a call to the control leader may or may not have taken effect. Immutable and
 * thread safe.
 */
public final class ControlUndecidedException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what was attempted and why its outcome is unknown
	 */
	public ControlUndecidedException(String message) {
		super(message, null, false, false);
	}

}

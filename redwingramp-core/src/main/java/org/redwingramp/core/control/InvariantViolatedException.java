package org.redwingramp.core.control;

/**
 * Thrown if an invariant of the control state does not hold. The component that detects
 * the violation must stop. Immutable and thread safe.
 */
public final class InvariantViolatedException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message names the invariant, the affected resource and the actual value
	 */
	public InvariantViolatedException(String message) {
		super(message);
	}

}

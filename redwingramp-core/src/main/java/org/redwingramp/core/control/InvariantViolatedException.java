package org.redwingramp.core.control;

/**
 * An invariant of the state doesn't hold. The part that found it must stop. Immutable and
 * thread safe.
 */
public final class InvariantViolatedException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message which invariant, where, and what was found
	 */
	public InvariantViolatedException(String message) {
		super(message);
	}

}

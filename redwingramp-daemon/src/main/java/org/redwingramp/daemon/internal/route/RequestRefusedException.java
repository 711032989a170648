package org.redwingramp.daemon.internal.route;

/**
 * Thrown when a request is refused before it is routed. Immutable and thread safe.
 */
public final class RequestRefusedException extends Exception {

	private static final long serialVersionUID = 1L;

	private final Problem problem;

	/**
	 * Creates the exception.
	 * @param problem the reason
	 * @param detail the human-readable detail
	 */
	public RequestRefusedException(Problem problem, String detail) {
		super(detail, null, false, false);
		this.problem = problem;
	}

	/**
	 * Returns the reason for the refusal.
	 * @return the reason
	 */
	public Problem problem() {
		return this.problem;
	}

}

package org.redwingramp.daemon.internal.route;

/**
 * A request is refused or has no known answer. Immutable and thread safe.
 */
public final class RequestRefusedException extends Exception {

	private static final long serialVersionUID = 1L;

	private final Problem problem;

	/**
	 * Creates the exception.
	 * @param problem why
	 * @param detail what was found, for people
	 */
	public RequestRefusedException(Problem problem, String detail) {
		super(detail, null, false, false);
		this.problem = problem;
	}

	/**
	 * Returns why the request is refused.
	 * @return the problem
	 */
	public Problem problem() {
		return this.problem;
	}

}

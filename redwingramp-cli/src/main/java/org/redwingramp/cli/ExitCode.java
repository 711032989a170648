package org.redwingramp.cli;

/**
 * How a subcommand ended. Scripts rely on the numbers, so they never change. Immutable
 * and thread safe.
 */
public enum ExitCode {

	/** Everything was done. */
	OK(0),

	/** The system refused the request, which had no effect. */
	REFUSED(1),

	/** The arguments or options are wrong; nothing was sent. */
	USAGE(2),

	/** A file has findings; nothing was sent. */
	FINDINGS(3),

	/** No instance could be reached, or none knows a leader; nothing was changed. */
	UNREACHABLE(4),

	/** The change may have been accepted; sending the same again is safe. */
	UNKNOWN(5);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the number
	 */
	public int code() {
		return this.code;
	}

}

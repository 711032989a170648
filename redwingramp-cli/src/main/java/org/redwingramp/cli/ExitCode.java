package org.redwingramp.cli;

/**
 * The exit codes of the command. Scripts rely on the numbers, so they must not change.
 * Immutable and thread safe.
 */
public enum ExitCode {

	/** The subcommand completed. */
	OK(0),

	/** An instance refused the request; the request had no effect. */
	REFUSED(1),

	/** The arguments or options are wrong; nothing was sent. */
	USAGE(2),

	/** Validation of a file reported findings; nothing was sent. */
	FINDINGS(3),

	/** No instance could be reached, or none knows a control leader; nothing changed. */
	UNREACHABLE(4),

	/** The change may have been accepted; it is safe to send the same change again. */
	UNKNOWN(5);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the number
	 */
	public int code() {
		return this.code;
	}

}

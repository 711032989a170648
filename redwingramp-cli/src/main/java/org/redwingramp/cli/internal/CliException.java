package org.redwingramp.cli.internal;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.redwingramp.cli.ExitCode;

/**
 * Ends a subcommand with an exit code and an error message. The factory methods define
 * the messages and exit codes of the command's errors. Thread safe as long as the problem
 * details aren't modified.
 */
final class CliException extends Exception {

	private static final int UNAUTHORIZED = 401;

	private final ExitCode exitCode;

	private final transient JsonNode problem;

	private CliException(ExitCode exitCode, String message, JsonNode problem) {
		super(message);
		this.exitCode = exitCode;
		this.problem = problem;
	}

	static CliException usage(String message) {
		return new CliException(ExitCode.USAGE, message + "; redwingramp --help lists subcommands and options", null);
	}

	static CliException refused(String endpoint, ApiResponse response) {
		if (response.status() == UNAUTHORIZED) {
			return new CliException(ExitCode.REFUSED,
					"refused by " + endpoint
							+ ": the token isn't accepted (unauthorized); check --token-file or REDWINGRAMP_TOKEN",
					response.body());
		}
		String detail = response.text("detail");
		return new CliException(
				ExitCode.REFUSED, "refused by " + endpoint + ": "
						+ (detail.isEmpty() ? "status " + response.status() : detail) + " (" + response.code() + ")",
				response.body());
	}

	static CliException unreachable(String attempts) {
		return new CliException(ExitCode.UNREACHABLE, "no instance could handle the request and nothing was changed: "
				+ attempts + "; check --endpoint or REDWINGRAMP_ENDPOINTS and whether the instances are running", null);
	}

	static CliException unknown(String attempts) {
		return new CliException(ExitCode.UNKNOWN, "the outcome is unknown, the change may have been accepted: "
				+ attempts + "; run the same command again, which is safe", null);
	}

	static CliException notInForce(long viewVersion, long versionInForce, long millis) {
		return new CliException(ExitCode.UNKNOWN,
				"view version " + viewVersion + " isn't in force everywhere after " + millis
						+ " ms; the latest version in force everywhere is " + versionInForce
						+ "; redwingramp status shows which entry instances" + " are behind",
				null);
	}

	static CliException notObserved(long viewVersion, CliException cause) {
		return new CliException(ExitCode.UNKNOWN, "the change was accepted as view version " + viewVersion
				+ ", but whether it is in force everywhere is unknown: " + cause.getMessage(), null);
	}

	ExitCode exitCode() {
		return this.exitCode;
	}

	/**
	 * Returns the problem details that the instance sent.
	 * @return the JSON body of the refusal, or empty if the error has another cause
	 */
	Optional<JsonNode> problem() {
		return Optional.ofNullable(this.problem);
	}

}

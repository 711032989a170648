package org.redwingramp.cli.internal;

import org.redwingramp.cli.ExitCode;

/**
 * The command line, output and API client that a subcommand runs with. Not thread safe.
 *
 * @param invocation the parsed command line
 * @param output prints results
 * @param client sends calls to the instances; {@code null} for local subcommands
 */
record CommandContext(Invocation invocation, Output output, OperatorClient client) {

	String argument(int index) {
		return this.invocation.arguments().get(index);
	}

	long timeoutMillis() throws CliException {
		return this.invocation.timeoutMillis();
	}

	/** The implementation of a subcommand. */
	@FunctionalInterface
	interface Action {

		/**
		 * Runs the subcommand.
		 * @param context the command line, output and API client
		 * @return the exit code
		 * @throws CliException if the subcommand fails with an error message
		 */
		ExitCode run(CommandContext context) throws CliException;

	}

}

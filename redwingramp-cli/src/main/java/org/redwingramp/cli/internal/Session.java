package org.redwingramp.cli.internal;

import org.redwingramp.cli.ExitCode;

/**
 * What a subcommand works with. Not thread safe.
 *
 * @param invocation the parsed command line
 * @param output prints results
 * @param client talks to the instances; {@code null} for subcommands that talk to none
 */
record Session(Invocation invocation, Output output, OperatorClient client) {

	String argument(int index) {
		return this.invocation.arguments().get(index);
	}

	long timeoutMillis() throws CliException {
		return this.invocation.timeoutMillis();
	}

	/** The work of a subcommand. */
	@FunctionalInterface
	interface Action {

		/**
		 * Runs the subcommand.
		 * @param session what it works with
		 * @return how it ended
		 * @throws CliException if it ends early
		 */
		ExitCode run(Session session) throws CliException;

	}

}

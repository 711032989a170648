package org.redwingramp.cli;

import java.io.PrintStream;
import java.util.Map;

import org.redwingramp.cli.internal.CommandRunner;

/**
 * Entry point of the operators' command {@code redwingramp}. It validates, submits,
 * revises and withdraws records, shows the records and views that are in force, and
 * traces requests in logs. Stateless and thread safe.
 */
public final class Redwingramp {

	private Redwingramp() {
	}

	/**
	 * Runs one subcommand and exits the process with its exit code.
	 * @param args the subcommand, its arguments and options
	 */
	public static void main(String[] args) {
		// The HTTP client logs through SLF4J, which prints a warning to standard error if
		// no log binding is present. The command reports failures itself.
		System.setProperty("slf4j.internal.verbosity", "ERROR");
		System.exit(run(args, System.getenv(), System.out, System.err).code());
	}

	/**
	 * Runs one subcommand and returns its exit code.
	 * @param args the subcommand, its arguments and options
	 * @param environment the environment variables
	 * @param out receives results
	 * @param err receives findings and errors
	 * @return the exit code
	 */
	public static ExitCode run(String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
		return new CommandRunner(environment, out, err).run(args);
	}

}

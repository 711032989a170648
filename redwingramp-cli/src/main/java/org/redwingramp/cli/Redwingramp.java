package org.redwingramp.cli;

import java.io.PrintStream;
import java.util.Map;

import org.redwingramp.cli.internal.CommandRunner;

/**
 * The operator's command {@code redwingramp}. Validates, submits, revises and withdraws
 * records and shows what is in force. Stateless and thread safe.
 */
public final class Redwingramp {

	private Redwingramp() {
	}

	/**
	 * Runs one subcommand and ends the process with its exit code.
	 * @param args the subcommand, its arguments and options
	 */
	public static void main(String[] args) {
		// The HTTP library logs through SLF4J, which complains on standard error if no
		// log binding is present; the command reports failures itself.
		System.setProperty("slf4j.internal.verbosity", "ERROR");
		System.exit(run(args, System.getenv(), System.out, System.err).code());
	}

	/**
	 * Runs one subcommand.
	 * @param args the subcommand, its arguments and options
	 * @param environment the environment variables
	 * @param out receives results
	 * @param err receives findings and errors
	 * @return how the subcommand ended
	 */
	public static ExitCode run(String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
		return new CommandRunner(environment, out, err).run(args);
	}

}

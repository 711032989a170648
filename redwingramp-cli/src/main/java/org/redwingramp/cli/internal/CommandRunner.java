package org.redwingramp.cli.internal;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

import org.redwingramp.cli.ExitCode;

/**
 * Parses a command line, runs its subcommand and prints errors. Not thread safe.
 */
public final class CommandRunner {

	/** The version to print if the classes aren't loaded from the jar. */
	private static final String DEVELOPMENT_VERSION = "0.1.0-SNAPSHOT";

	private static final int HELP_WIDTH = 100;

	private final Map<String, String> environment;

	private final PrintStream out;

	private final PrintStream err;

	public CommandRunner(Map<String, String> environment, PrintStream out, PrintStream err) {
		this.environment = environment;
		this.out = out;
		this.err = err;
	}

	/**
	 * Runs the subcommand of a command line.
	 * @param args the subcommand, its arguments and options
	 * @return the exit code
	 */
	public ExitCode run(String[] args) {
		boolean json = Arrays.asList(args).contains("--" + CommandOptions.JSON);
		Output output = new Output(this.out, this.err, json);
		try {
			return run(Invocation.parse(args, this.environment), output);
		}
		catch (CliException ex) {
			output.printError(ex);
			return ex.exitCode();
		}
	}

	private ExitCode run(Invocation invocation, Output output) throws CliException {
		Optional<String> label = invocation.subcommandLabel();
		if (label.isEmpty()) {
			return runWithoutSubcommand(invocation, output);
		}
		Subcommand subcommand = Subcommand.find(label.get());
		if (invocation.hasOption(CommandOptions.HELP)) {
			printHelp(subcommand.syntax(), subcommand.summary(), subcommand.optionList());
			return ExitCode.OK;
		}
		subcommand.checkArguments(invocation);
		if (!subcommand.remote()) {
			return subcommand.run(new CommandContext(invocation, output, null));
		}
		try (OperatorClient client = new OperatorClient(invocation.endpoints(), invocation.token())) {
			return subcommand.run(new CommandContext(invocation, output, client));
		}
	}

	private ExitCode runWithoutSubcommand(Invocation invocation, Output output) throws CliException {
		if (invocation.hasOption(CommandOptions.VERSION)) {
			String version = CommandRunner.class.getPackage().getImplementationVersion();
			output.printLine("redwingramp " + ((version != null) ? version : DEVELOPMENT_VERSION));
			return ExitCode.OK;
		}
		if (!invocation.hasOption(CommandOptions.HELP)) {
			throw CliException.usage("no subcommand given; known subcommands: " + Subcommand.labels());
		}
		printHelp("redwingramp SUBCOMMAND", "", CommandOptions.all().getOptions());
		this.out.println(Arrays.stream(Subcommand.values())
			.map((subcommand) -> " " + subcommand.syntax() + System.lineSeparator() + "     " + subcommand.summary())
			.collect(Collectors.joining(System.lineSeparator())));
		this.out.println();
		this.out.println(" Exit codes: 0 success, 1 refused by an instance, 2 invalid usage, 3 findings in a file,");
		this.out.println(" 4 no instance could handle the request, 5 the outcome is unknown (safe to run again)");
		return ExitCode.OK;
	}

	private void printHelp(String syntax, String summary, Iterable<Option> options) {
		TextHelpAppendable text = new TextHelpAppendable(this.out);
		text.setMaxWidth(HELP_WIDTH);
		try {
			HelpFormatter.builder()
				.setShowSince(false)
				.setHelpAppendable(text)
				.get()
				.printHelp(syntax + " [options]", summary, options, "", false);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to write the help text to standard output", ex);
		}
	}

}

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
 * Runs one command line from parsing to the exit code. Not thread safe.
 */
public final class CommandRunner {

	/** Names the version if the command doesn't run from its jar. */
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
	 * Runs a command line.
	 * @param args the subcommand, its arguments and options
	 * @return how it ended
	 */
	public ExitCode run(String[] args) {
		boolean json = Arrays.asList(args).contains("--" + CommandOptions.JSON);
		Output output = new Output(this.out, this.err, json);
		try {
			return run(Invocation.parse(args, this.environment), output);
		}
		catch (CliException ex) {
			output.error(ex);
			return ex.exitCode();
		}
	}

	private ExitCode run(Invocation invocation, Output output) throws CliException {
		Optional<String> label = invocation.label();
		if (label.isEmpty()) {
			return withoutSubcommand(invocation, output);
		}
		Subcommand subcommand = Subcommand.find(label.get());
		if (invocation.has(CommandOptions.HELP)) {
			help(subcommand.syntax(), subcommand.summary(), subcommand.optionList());
			return ExitCode.OK;
		}
		subcommand.check(invocation);
		if (!subcommand.remote()) {
			return subcommand.run(new Session(invocation, output, null));
		}
		try (OperatorClient client = new OperatorClient(invocation.endpoints(), invocation.token())) {
			return subcommand.run(new Session(invocation, output, client));
		}
	}

	private ExitCode withoutSubcommand(Invocation invocation, Output output) throws CliException {
		if (invocation.has(CommandOptions.VERSION)) {
			String version = CommandRunner.class.getPackage().getImplementationVersion();
			output.line("redwingramp " + ((version != null) ? version : DEVELOPMENT_VERSION));
			return ExitCode.OK;
		}
		if (!invocation.has(CommandOptions.HELP)) {
			throw CliException.usage("no subcommand is given; known are " + Subcommand.labels());
		}
		help("redwingramp SUBCOMMAND", "", CommandOptions.all().getOptions());
		this.out.println(Arrays.stream(Subcommand.values())
			.map((subcommand) -> " " + subcommand.syntax() + System.lineSeparator() + "     " + subcommand.summary())
			.collect(Collectors.joining(System.lineSeparator())));
		this.out.println();
		this.out.println(" Exit codes: 0 done, 1 refused by the system, 2 wrong usage, 3 findings in a file,");
		this.out.println(" 4 no instance can be reached, 5 the outcome is unknown (running it again is safe)");
		return ExitCode.OK;
	}

	private void help(String syntax, String summary, Iterable<Option> options) {
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
			throw new UncheckedIOException("Standard output can't be written", ex);
		}
	}

}

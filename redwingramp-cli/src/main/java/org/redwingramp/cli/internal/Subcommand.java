package org.redwingramp.cli.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.apache.commons.cli.Option;

import org.redwingramp.cli.ExitCode;

/**
 * The subcommands with their arguments, options and implementations. Immutable and thread
 * safe.
 */
enum Subcommand {

	VALIDATE("FILE...", "checks record files, or settings files with --settings, without contacting an instance", 1,
			Integer.MAX_VALUE, false, List.of(CommandOptions.SETTINGS), ValidateCommand::run),

	SUBMIT("FILE...", "submits the first version of records", 1, Integer.MAX_VALUE, true, List.of(CommandOptions.WAIT),
			(context) -> SubmitCommand.run(context, "submit")),

	REVISE("FILE...", "submits the next version of records", 1, Integer.MAX_VALUE, true, List.of(CommandOptions.WAIT),
			(context) -> SubmitCommand.run(context, "revise")),

	WITHDRAW("KIND NAME --version N", "withdraws a record if N is its version in force", 2, 2, true,
			List.of(CommandOptions.VERSION, CommandOptions.WAIT), SubmitCommand::withdraw),

	LIST("[KIND]", "lists the records in force", 0, 1, true, List.of(), ShowCommands::list),

	SHOW("KIND NAME", "prints the text of a record in force", 2, 2, true, List.of(), ShowCommands::show),

	WATCH("", "prints changes as they are accepted", 0, 0, true,
			List.of(CommandOptions.SINCE, CommandOptions.UNTIL_IN_FORCE), WatchCommand::run),

	STATUS("", "prints the leader, the replicas, the entry instances and the services", 0, 0, true, List.of(),
			ShowCommands::status),

	EXPLAIN("SERVICE [KEY]", "prints where a request for the key is routed and why", 1, 2, true, List.of(),
			ShowCommands::explain),

	TRACE("[FILE...]", "prints the events of log files, or of standard input, in order of time", 0, Integer.MAX_VALUE,
			false, List.of(CommandOptions.REQUEST, CommandOptions.KEY, CommandOptions.FROM, CommandOptions.TO,
					CommandOptions.SUMMARY),
			TraceCommand::run);

	private final String arguments;

	private final String summary;

	private final int minArguments;

	private final int maxArguments;

	private final boolean remote;

	private final List<String> options;

	private final CommandContext.Action action;

	Subcommand(String arguments, String summary, int minArguments, int maxArguments, boolean remote,
			List<String> options, CommandContext.Action action) {
		this.arguments = arguments;
		this.summary = summary;
		this.minArguments = minArguments;
		this.maxArguments = maxArguments;
		this.remote = remote;
		this.options = options;
		this.action = action;
	}

	static Subcommand find(String label) throws CliException {
		return Arrays.stream(values())
			.filter((subcommand) -> subcommand.label().equals(label))
			.findFirst()
			.orElseThrow(
					() -> CliException.usage("unknown subcommand \"" + label + "\"; known subcommands: " + labels()));
	}

	static String labels() {
		return Arrays.stream(values()).map(Subcommand::label).collect(Collectors.joining(", "));
	}

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	String syntax() {
		return "redwingramp " + label() + (this.arguments.isEmpty() ? "" : " " + this.arguments);
	}

	String summary() {
		return this.summary;
	}

	boolean remote() {
		return this.remote;
	}

	boolean accepts(String option) {
		return CommandOptions.COMMON.contains(option) || this.options.contains(option)
				|| (this.remote && CommandOptions.REMOTE.contains(option));
	}

	List<Option> optionList() {
		return CommandOptions.all().getOptions().stream().filter((option) -> accepts(option.getLongOpt())).toList();
	}

	/**
	 * Checks the number of arguments and that the subcommand accepts each option. An
	 * unsupported option is an error, since ignoring it would suggest an effect that it
	 * doesn't have.
	 * @param invocation the command line
	 * @throws CliException if an option or the number of arguments is wrong
	 */
	void checkArguments(Invocation invocation) throws CliException {
		int count = invocation.arguments().size();
		if (count < this.minArguments || count > this.maxArguments) {
			throw CliException.usage(label() + ": wrong number of arguments (" + count + "); usage: " + syntax());
		}
		Optional<String> unsupported = invocation.optionNames()
			.stream()
			.filter((option) -> !accepts(option))
			.findFirst();
		if (unsupported.isPresent()) {
			String acceptedOptions = Stream.of(CommandOptions.COMMON, CommandOptions.REMOTE, this.options)
				.flatMap(List::stream)
				.filter(this::accepts)
				.map((option) -> "--" + option)
				.collect(Collectors.joining(", "));
			throw CliException
				.usage(label() + " doesn't accept --" + unsupported.get() + "; accepted options: " + acceptedOptions);
		}
	}

	ExitCode run(CommandContext context) throws CliException {
		return this.action.run(context);
	}

}

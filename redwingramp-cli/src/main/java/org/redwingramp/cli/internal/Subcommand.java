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
 * The subcommands with their arguments and options. Immutable and thread safe.
 */
enum Subcommand {

	VALIDATE("FILE...", "checks records, or settings with --settings, without talking to an instance", 1,
			Integer.MAX_VALUE, false, List.of(CommandOptions.SETTINGS), ValidateCommand::run),

	SUBMIT("FILE...", "submits the first version of records", 1, Integer.MAX_VALUE, true, List.of(CommandOptions.WAIT),
			(session) -> SubmitCommand.run(session, "submit")),

	REVISE("FILE...", "submits the next version of records", 1, Integer.MAX_VALUE, true, List.of(CommandOptions.WAIT),
			(session) -> SubmitCommand.run(session, "revise")),

	WITHDRAW("KIND NAME --version N", "withdraws a record at the version in force", 2, 2, true,
			List.of(CommandOptions.VERSION, CommandOptions.WAIT), SubmitCommand::withdraw),

	LIST("[KIND]", "lists the records in force", 0, 1, true, List.of(), ShowCommands::list),

	SHOW("KIND NAME", "prints the text of a record in force", 2, 2, true, List.of(), ShowCommands::show),

	WATCH("", "prints changes as they are accepted", 0, 0, true,
			List.of(CommandOptions.SINCE, CommandOptions.UNTIL_IN_FORCE), WatchCommand::run),

	STATUS("", "prints the leader, the replicas, the entry instances and the services", 0, 0, true, List.of(),
			ShowCommands::status),

	EXPLAIN("SERVICE [KEY]", "prints where a request with that key goes and why", 1, 2, true, List.of(),
			ShowCommands::explain),

	TRACE("[FILE...]", "prints the decisions of log files, or of standard input, in order", 0, Integer.MAX_VALUE, false,
			List.of(CommandOptions.REQUEST, CommandOptions.FROM, CommandOptions.TO, CommandOptions.SUMMARY),
			TraceCommand::run);

	private final String arguments;

	private final String summary;

	private final int minArguments;

	private final int maxArguments;

	private final boolean remote;

	private final List<String> options;

	private final Session.Action action;

	Subcommand(String arguments, String summary, int minArguments, int maxArguments, boolean remote,
			List<String> options, Session.Action action) {
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
			.orElseThrow(() -> CliException.usage("\"" + label + "\" is no subcommand; known are " + labels()));
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

	boolean takes(String option) {
		return CommandOptions.COMMON.contains(option) || this.options.contains(option)
				|| (this.remote && CommandOptions.REMOTE.contains(option));
	}

	List<Option> optionList() {
		return CommandOptions.all().getOptions().stream().filter((option) -> takes(option.getLongOpt())).toList();
	}

	/**
	 * Checks the number of arguments and that each option belongs to the subcommand,
	 * since an ignored option would promise something that doesn't happen.
	 * @param invocation the command line
	 * @throws CliException if something doesn't belong
	 */
	void check(Invocation invocation) throws CliException {
		int count = invocation.arguments().size();
		if (count < this.minArguments || count > this.maxArguments) {
			throw CliException.usage(label() + " has " + count + " arguments; its form is: " + syntax());
		}
		Optional<String> foreign = invocation.optionNames().stream().filter((option) -> !takes(option)).findFirst();
		if (foreign.isPresent()) {
			String taken = Stream.of(CommandOptions.COMMON, CommandOptions.REMOTE, this.options)
				.flatMap(List::stream)
				.filter(this::takes)
				.map((option) -> "--" + option)
				.collect(Collectors.joining(", "));
			throw CliException.usage(label() + " doesn't take --" + foreign.get() + "; it takes " + taken);
		}
	}

	ExitCode run(Session session) throws CliException {
		return this.action.run(session);
	}

}

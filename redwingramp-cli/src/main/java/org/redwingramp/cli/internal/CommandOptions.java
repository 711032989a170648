package org.redwingramp.cli.internal;

import java.util.List;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * The options of all subcommands. Stateless and thread safe.
 */
final class CommandOptions {

	static final String JSON = "json";

	static final String ENDPOINT = "endpoint";

	static final String TOKEN_FILE = "token-file";

	static final String TIMEOUT = "timeout";

	static final String HELP = "help";

	static final String VERSION = "version";

	static final String WAIT = "wait";

	static final String SINCE = "since";

	static final String UNTIL_IN_FORCE = "until-in-force";

	static final String SETTINGS = "settings";

	static final String REQUEST = "request";

	static final String FROM = "from";

	static final String TO = "to";

	static final String SUMMARY = "summary";

	/** The options that every subcommand takes. */
	static final List<String> COMMON = List.of(JSON, HELP);

	/** The options of the subcommands that talk to an instance. */
	static final List<String> REMOTE = List.of(ENDPOINT, TOKEN_FILE, TIMEOUT);

	private CommandOptions() {
	}

	static Options all() {
		return new Options().addOption(flag(JSON, "print one JSON object a line"))
			.addOption(value(ENDPOINT, "ip:port",
					"an instance's operators' address; repeat it to name others that"
							+ " are tried next (or REDWINGRAMP_ENDPOINTS, separated by commas)"))
			.addOption(value(TOKEN_FILE, "path", "a file with the operator's token (or REDWINGRAMP_TOKEN)"))
			.addOption(value(TIMEOUT, "seconds",
					"the time for all attempts, 10 unless given; for watch, the time"
							+ " after which it ends, unlimited unless given"))
			.addOption(flag(HELP, "print help"))
			.addOption(flag(WAIT, "wait until the change is in force everywhere and print after how many ms"))
			.addOption(value(SINCE, "n", "start after this view version"))
			.addOption(flag(UNTIL_IN_FORCE, "end once all that is accepted now is in force everywhere"))
			.addOption(flag(SETTINGS, "the files are settings of the daemon"))
			.addOption(value(REQUEST, "id", "only the request with this id, and the beliefs that it was based on"))
			.addOption(value(FROM, "ms", "only events from this wall clock time in milliseconds"))
			.addOption(value(TO, "ms", "only events up to this wall clock time in milliseconds"))
			.addOption(flag(SUMMARY, "count requests by second and reason"))
			.addOption(Option.builder()
				.longOpt(VERSION)
				.hasArg()
				.optionalArg(true)
				.argName("n")
				.desc("the version to withdraw; without a subcommand: print the version of this command")
				.get());
	}

	private static Option flag(String name, String description) {
		return Option.builder().longOpt(name).desc(description).get();
	}

	private static Option value(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
	}

}

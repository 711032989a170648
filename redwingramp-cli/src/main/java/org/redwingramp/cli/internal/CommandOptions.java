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

	static final String KEY = "key";

	static final String FROM = "from";

	static final String TO = "to";

	static final String SUMMARY = "summary";

	/** The options that every subcommand accepts. */
	static final List<String> COMMON = List.of(JSON, HELP);

	/** The options of the subcommands that send requests to an instance. */
	static final List<String> REMOTE = List.of(ENDPOINT, TOKEN_FILE, TIMEOUT);

	private CommandOptions() {
	}

	static Options all() {
		return new Options().addOption(flag(JSON, "print one JSON object per line"))
			.addOption(value(ENDPOINT, "ip:port",
					"address of an instance's operator API; repeat the option for"
							+ " instances to try next (or REDWINGRAMP_ENDPOINTS, separated by commas)"))
			.addOption(value(TOKEN_FILE, "path", "file that contains the operator's token (or REDWINGRAMP_TOKEN)"))
			.addOption(value(TIMEOUT, "seconds",
					"time limit for all attempts of a request (default 10); for watch, the"
							+ " time after which it ends (default unlimited)"))
			.addOption(flag(HELP, "print this help"))
			.addOption(flag(WAIT, "wait until the change is in force everywhere and print the time that it took in ms"))
			.addOption(
					value(SINCE, "n", "print the changes after this view version (default: the current view version)"))
			.addOption(flag(UNTIL_IN_FORCE, "end once the current view version is in force everywhere"))
			.addOption(flag(SETTINGS, "the files contain daemon settings instead of records"))
			.addOption(value(REQUEST, "id", "only the request with this id and the events that explain its outcome"))
			.addOption(value(KEY, "service/key",
					"only the events about this key or a range that contains it, the contact to its owners"
							+ " and the changes of the leadership"))
			.addOption(value(FROM, "ms", "only events at or after this wall-clock time in milliseconds"))
			.addOption(value(TO, "ms", "only events at or before this wall-clock time in milliseconds"))
			.addOption(flag(SUMMARY, "count request outcomes by second and reason"))
			.addOption(Option.builder()
				.longOpt(VERSION)
				.hasArg()
				.optionalArg(true)
				.argName("n")
				.desc("the record version to withdraw; without a subcommand, print the version of redwingramp")
				.get());
	}

	private static Option flag(String name, String description) {
		return Option.builder().longOpt(name).desc(description).get();
	}

	private static Option value(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
	}

}

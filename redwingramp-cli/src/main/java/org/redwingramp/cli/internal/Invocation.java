package org.redwingramp.cli.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;

import org.redwingramp.records.Endpoint;
import org.redwingramp.records.Secret;

/**
 * The parsed command line and environment. Immutable and thread safe.
 */
final class Invocation {

	private static final long DEFAULT_TIMEOUT_SECONDS = 10;

	private static final long MAX_TIMEOUT_SECONDS = 86_400;

	private static final int MAX_TOKEN_BYTES = 1024;

	private final CommandLine line;

	private final Map<String, String> environment;

	private Invocation(CommandLine line, Map<String, String> environment) {
		this.line = line;
		this.environment = environment;
	}

	static Invocation parse(String[] args, Map<String, String> environment) throws CliException {
		try {
			CommandLine line = DefaultParser.builder()
				.setAllowPartialMatching(false)
				.get()
				.parse(CommandOptions.all(), args);
			return new Invocation(line, environment);
		}
		catch (ParseException ex) {
			throw CliException.usage(ex.getMessage());
		}
	}

	boolean has(String option) {
		return this.line.hasOption(option);
	}

	boolean json() {
		return has(CommandOptions.JSON);
	}

	/**
	 * Returns the subcommand's label.
	 * @return the first argument, or empty if there is none
	 */
	Optional<String> label() {
		return this.line.getArgList().stream().findFirst();
	}

	List<String> arguments() {
		return this.line.getArgList().stream().skip(1).toList();
	}

	List<String> optionNames() {
		return Arrays.stream(this.line.getOptions()).map((option) -> option.getLongOpt()).distinct().toList();
	}

	/**
	 * Returns the time for a call.
	 * @return the time in milliseconds
	 * @throws CliException if the option isn't a number of seconds
	 */
	long timeoutMillis() throws CliException {
		long seconds = number(CommandOptions.TIMEOUT, 1, MAX_TIMEOUT_SECONDS).orElse(DEFAULT_TIMEOUT_SECONDS);
		return TimeUnit.SECONDS.toMillis(seconds);
	}

	Optional<Long> number(String option, long minimum, long maximum) throws CliException {
		String value = this.line.getOptionValue(option);
		if (value == null) {
			return Optional.empty();
		}
		try {
			long number = Long.parseLong(value);
			if (number >= minimum && number <= maximum) {
				return Optional.of(number);
			}
		}
		catch (NumberFormatException ex) {
			// Falls through to the same message as a number out of bounds.
		}
		throw CliException
			.usage("--" + option + " is \"" + value + "\"; allowed: an integer from " + minimum + " to " + maximum);
	}

	Optional<String> text(String option) {
		return Optional.ofNullable(this.line.getOptionValue(option));
	}

	List<Endpoint> endpoints() throws CliException {
		String[] values = this.line.getOptionValues(CommandOptions.ENDPOINT);
		List<String> texts = (values != null) ? List.of(values)
				: Arrays.stream(this.environment.getOrDefault("REDWINGRAMP_ENDPOINTS", "").split(","))
					.map(String::strip)
					.filter((text) -> !text.isEmpty())
					.toList();
		if (texts.isEmpty()) {
			throw CliException.usage("no endpoint is given; use --endpoint ip:port or REDWINGRAMP_ENDPOINTS");
		}
		Optional<String> wrong = texts.stream().filter((text) -> Endpoint.parse(text).isEmpty()).findFirst();
		if (wrong.isPresent()) {
			throw CliException.usage("endpoint \"" + wrong.get() + "\" has another form; allowed: " + Endpoint.FORM);
		}
		return texts.stream().flatMap((text) -> Endpoint.parse(text).stream()).toList();
	}

	Secret token() throws CliException {
		String file = this.line.getOptionValue(CommandOptions.TOKEN_FILE);
		String token = (file != null) ? tokenFrom(file) : this.environment.getOrDefault("REDWINGRAMP_TOKEN", "");
		if (token.isEmpty()) {
			throw CliException.usage("no token is given; use --token-file or REDWINGRAMP_TOKEN");
		}
		if (!token.chars().allMatch((character) -> character > ' ' && character <= '~')) {
			throw CliException.usage("the token has characters other than printable ASCII without spaces");
		}
		return Secret.of(token);
	}

	private static String tokenFrom(String file) throws CliException {
		try (var content = Files.newInputStream(Path.of(file))) {
			return new String(content.readNBytes(MAX_TOKEN_BYTES), StandardCharsets.UTF_8).strip();
		}
		catch (IOException | InvalidPathException ex) {
			throw CliException
				.usage("the token file " + file + " can't be read (" + ex.getClass().getSimpleName() + ")");
		}
	}

}

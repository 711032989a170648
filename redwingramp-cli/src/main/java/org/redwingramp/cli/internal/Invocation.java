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
 * A parsed command line and the environment variables. Immutable and thread safe.
 */
final class Invocation {

	private static final long DEFAULT_TIMEOUT_SECONDS = 10;

	private static final long MAX_TIMEOUT_SECONDS = 86_400;

	private static final int MAX_TOKEN_BYTES = 1024;

	private final CommandLine commandLine;

	private final Map<String, String> environment;

	private Invocation(CommandLine commandLine, Map<String, String> environment) {
		this.commandLine = commandLine;
		this.environment = environment;
	}

	static Invocation parse(String[] args, Map<String, String> environment) throws CliException {
		try {
			CommandLine commandLine = DefaultParser.builder()
				.setAllowPartialMatching(false)
				.get()
				.parse(CommandOptions.all(), args);
			return new Invocation(commandLine, environment);
		}
		catch (ParseException ex) {
			throw CliException.usage(ex.getMessage());
		}
	}

	boolean hasOption(String option) {
		return this.commandLine.hasOption(option);
	}

	boolean json() {
		return hasOption(CommandOptions.JSON);
	}

	/**
	 * Returns the label of the subcommand.
	 * @return the first argument, or empty if there are no arguments
	 */
	Optional<String> subcommandLabel() {
		return this.commandLine.getArgList().stream().findFirst();
	}

	List<String> arguments() {
		return this.commandLine.getArgList().stream().skip(1).toList();
	}

	List<String> optionNames() {
		return Arrays.stream(this.commandLine.getOptions()).map((option) -> option.getLongOpt()).distinct().toList();
	}

	/**
	 * Returns the time limit for all attempts of a call.
	 * @return the time in milliseconds
	 * @throws CliException if the option isn't a number of seconds within the bounds
	 */
	long timeoutMillis() throws CliException {
		long seconds = integerOption(CommandOptions.TIMEOUT, 1, MAX_TIMEOUT_SECONDS).orElse(DEFAULT_TIMEOUT_SECONDS);
		return TimeUnit.SECONDS.toMillis(seconds);
	}

	Optional<Long> integerOption(String option, long minimum, long maximum) throws CliException {
		String value = this.commandLine.getOptionValue(option);
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
			// Reported below with the same message as a number out of bounds.
		}
		throw CliException.usage("invalid value \"" + value + "\" for --" + option + "; allowed: an integer from "
				+ minimum + " to " + maximum);
	}

	Optional<String> optionValue(String option) {
		return Optional.ofNullable(this.commandLine.getOptionValue(option));
	}

	List<Endpoint> endpoints() throws CliException {
		String[] values = this.commandLine.getOptionValues(CommandOptions.ENDPOINT);
		List<String> texts = (values != null) ? List.of(values)
				: Arrays.stream(this.environment.getOrDefault("REDWINGRAMP_ENDPOINTS", "").split(","))
					.map(String::strip)
					.filter((text) -> !text.isEmpty())
					.toList();
		if (texts.isEmpty()) {
			throw CliException.usage("no endpoint given; use --endpoint ip:port or REDWINGRAMP_ENDPOINTS");
		}
		Optional<String> invalid = texts.stream().filter((text) -> Endpoint.parse(text).isEmpty()).findFirst();
		if (invalid.isPresent()) {
			throw CliException.usage("invalid endpoint \"" + invalid.get() + "\"; allowed: " + Endpoint.FORMAT);
		}
		return texts.stream().flatMap((text) -> Endpoint.parse(text).stream()).toList();
	}

	Secret token() throws CliException {
		String file = this.commandLine.getOptionValue(CommandOptions.TOKEN_FILE);
		String token = (file != null) ? readToken(file) : this.environment.getOrDefault("REDWINGRAMP_TOKEN", "");
		if (token.isEmpty()) {
			throw CliException.usage("no token given; use --token-file or REDWINGRAMP_TOKEN");
		}
		if (!token.chars().allMatch((character) -> character > ' ' && character <= '~')) {
			throw CliException.usage("the token contains characters other than printable ASCII without spaces");
		}
		return Secret.of(token);
	}

	private static String readToken(String file) throws CliException {
		try (var content = Files.newInputStream(Path.of(file))) {
			return new String(content.readNBytes(MAX_TOKEN_BYTES), StandardCharsets.UTF_8).strip();
		}
		catch (IOException | InvalidPathException ex) {
			throw CliException
				.usage("the token file " + file + " can't be read (" + ex.getClass().getSimpleName() + ")");
		}
	}

}

package org.redwingramp.bench.load;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The options of a load run. Immutable and thread safe.
 *
 * @param entries the entries
 * @param service the service
 * @param callers the number of callers in a closed loop, or the most at once in an open
 * loop
 * @param rate requests per second of an open loop, 0 for a closed loop
 * @param seconds the run's time
 * @param warmUpSeconds the time before it that isn't measured
 * @param keys the number of keys
 * @param zipf the exponent of the keys' Zipf distribution, 0 for uniform keys
 * @param bookings the share of at-most-once requests
 * @param deadlineMillis the deadline of each request
 * @param direct whether the entries are targets, whose answers carry no outcome
 * @param outcomes the file for the outcome of each request identity
 * @param seed the seed of the random choices
 */
record LoadOptions(List<Entry> entries, String service, int callers, int rate, double seconds, double warmUpSeconds,
		int keys, double zipf, double bookings, long deadlineMillis, boolean direct, Optional<Path> outcomes,
		long seed) {

	private static final List<String> WITH_VALUE = List.of("entries", "service", "callers", "rate", "seconds",
			"warm-up", "keys", "zipf", "bookings", "deadline-ms", "outcomes", "seed");

	static LoadOptions parse(String[] args) throws ParseException {
		Options options = new Options();
		WITH_VALUE.forEach((name) -> options.addOption(null, name, true, name));
		options.addOption(null, "direct", false, "the entries are targets");
		CommandLine line = new DefaultParser().parse(options, args);
		if (!line.hasOption("entries")) {
			throw new ParseException("--entries HOST:PORT[/HOST:PORT],... is missing");
		}
		return new LoadOptions(Stream.of(line.getOptionValue("entries").split(",")).map(Entry::parse).toList(),
				line.getOptionValue("service", "taller-svc"), (int) number(line, "callers", 16),
				(int) number(line, "rate", 0), number(line, "seconds", 5), number(line, "warm-up", 0),
				(int) number(line, "keys", 1000), number(line, "zipf", 0), number(line, "bookings", 0),
				(long) number(line, "deadline-ms", 2000), line.hasOption("direct"),
				Optional.ofNullable(line.getOptionValue("outcomes")).map(Path::of), (long) number(line, "seed", 1));
	}

	private static double number(CommandLine line, String name, double absent) {
		String value = line.getOptionValue(name);
		return (value != null) ? Double.parseDouble(value) : absent;
	}

	/**
	 * An entry instance.
	 *
	 * @param callers its address for callers
	 * @param operators its address for the readiness probe, empty for none
	 */
	record Entry(String callers, String operators) {

		static Entry parse(String text) {
			String[] parts = text.split("/", 2);
			return new Entry(parts[0], (parts.length == 2) ? parts[1] : "");
		}

	}

}

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
 * The command-line options of the load generator. Immutable and thread safe.
 *
 * @param entries the entry instances that requests are sent to
 * @param service the service that is called
 * @param callers the number of concurrent callers in a closed loop; the maximum number of
 * concurrent requests in an open loop, which is at least 512
 * @param rate the requests per second of an open loop, 0 for a closed loop
 * @param seconds the duration of the measurement
 * @param warmUpSeconds the duration of the load before the measurement
 * @param keys the number of keys
 * @param zipf the exponent of the keys' Zipf distribution, 0 for uniform keys
 * @param bookings the share of at-most-once requests
 * @param deadlineMillis the deadline of each request
 * @param direct whether the entries are targets, whose responses carry no outcome header
 * @param outcomes the file that the outcome of each request identity is written to
 * @param seed accepted, but not used: requests are drawn from a thread-local random
 */
record LoadOptions(List<Entry> entries, String service, int callers, int rate, double seconds, double warmUpSeconds,
		int keys, double zipf, double bookings, long deadlineMillis, boolean direct, Optional<Path> outcomes,
		long seed) {

	private static final List<String> OPTIONS_WITH_VALUE = List.of("entries", "service", "callers", "rate", "seconds",
			"warm-up", "keys", "zipf", "bookings", "deadline-ms", "outcomes", "seed");

	static LoadOptions parse(String[] args) throws ParseException {
		Options options = new Options();
		OPTIONS_WITH_VALUE.forEach((name) -> options.addOption(null, name, true, name));
		options.addOption(null, "direct", false, "the entries are targets");
		CommandLine line = new DefaultParser().parse(options, args);
		if (!line.hasOption("entries")) {
			throw new ParseException("missing required option --entries HOST:PORT[/HOST:PORT],...");
		}
		return new LoadOptions(Stream.of(line.getOptionValue("entries").split(",")).map(Entry::parse).toList(),
				line.getOptionValue("service", "taller-svc"), (int) number(line, "callers", 16),
				(int) number(line, "rate", 0), number(line, "seconds", 5), number(line, "warm-up", 0),
				(int) number(line, "keys", 1000), number(line, "zipf", 0), number(line, "bookings", 0),
				(long) number(line, "deadline-ms", 2000), line.hasOption("direct"),
				Optional.ofNullable(line.getOptionValue("outcomes")).map(Path::of), (long) number(line, "seed", 1));
	}

	private static double number(CommandLine line, String name, double defaultValue) {
		String value = line.getOptionValue(name);
		return (value != null) ? Double.parseDouble(value) : defaultValue;
	}

	/**
	 * An entry instance.
	 *
	 * @param callers the address that it serves callers on
	 * @param operators the address that the readiness probe is sent to, empty for no
	 * probe
	 */
	record Entry(String callers, String operators) {

		static Entry parse(String text) {
			String[] parts = text.split("/", 2);
			return new Entry(parts[0], (parts.length == 2) ? parts[1] : "");
		}

	}

}

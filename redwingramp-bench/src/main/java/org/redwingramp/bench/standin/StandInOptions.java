package org.redwingramp.bench.standin;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The command-line options of a stand-in target. Immutable and thread safe.
 *
 * @param name the target's name
 * @param service the service that it belongs to
 * @param domain its failure domain
 * @param listen the address that it listens on
 * @param announced the address that it announces, which may be that of a proxy
 * @param entries the addresses at which the entry instances listen for callers
 * @param token the bearer token of targets
 * @param slots the number of slots that it announces
 * @param serviceMicros the time that each request takes, in microseconds
 * @param direct whether it runs requests without a gate epoch, as sent by a load
 * generator that bypasses the entry instances
 * @param journal the file that its runs are written to
 * @param bootId the identifier of this incarnation of the target
 */
record StandInOptions(String name, String service, String domain, String listen, String announced, List<String> entries,
		String token, int slots, long serviceMicros, boolean direct, Optional<Path> journal, String bootId) {

	private static final List<String> OPTIONS_WITH_VALUE = List.of("name", "service", "domain", "listen", "announce",
			"entries", "token", "slots", "service-us", "journal");

	static StandInOptions parse(String[] args) throws ParseException {
		Options options = new Options();
		OPTIONS_WITH_VALUE.forEach((name) -> options.addOption(null, name, true, name));
		options.addOption(null, "direct", false, "run requests without a gate epoch");
		CommandLine line = new DefaultParser().parse(options, args);
		String listen = required(line, "listen");
		return new StandInOptions(required(line, "name"), required(line, "service"), required(line, "domain"), listen,
				line.getOptionValue("announce", listen), List.of(required(line, "entries").split(",")),
				required(line, "token"), Integer.parseInt(line.getOptionValue("slots", "3")),
				Long.parseLong(line.getOptionValue("service-us", "1000")), line.hasOption("direct"),
				Optional.ofNullable(line.getOptionValue("journal")).map(Path::of), UUID.randomUUID().toString());
	}

	private static String required(CommandLine line, String name) throws ParseException {
		if (!line.hasOption(name)) {
			throw new ParseException("missing required option --" + name);
		}
		return line.getOptionValue(name);
	}

}

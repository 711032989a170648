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
 * The options of a stand-in target. Immutable and thread safe.
 *
 * @param name the target's name
 * @param service its service
 * @param domain its failure domain
 * @param listen its address
 * @param announced the address that it announces, which may be that of a proxy
 * @param entries the callers' addresses of the entry instances
 * @param token the targets' token
 * @param slots its slots
 * @param serviceMicros its service time in microseconds
 * @param direct whether it runs requests that come without a gate epoch
 * @param journal the file of its runs
 * @param bootId the identity of this process
 */
record StandInOptions(String name, String service, String domain, String listen, String announced, List<String> entries,
		String token, int slots, long serviceMicros, boolean direct, Optional<Path> journal, String bootId) {

	private static final List<String> WITH_VALUE = List.of("name", "service", "domain", "listen", "announce", "entries",
			"token", "slots", "service-us", "journal");

	static StandInOptions parse(String[] args) throws ParseException {
		Options options = new Options();
		WITH_VALUE.forEach((name) -> options.addOption(null, name, true, name));
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
			throw new ParseException("--" + name + " is missing");
		}
		return line.getOptionValue(name);
	}

}

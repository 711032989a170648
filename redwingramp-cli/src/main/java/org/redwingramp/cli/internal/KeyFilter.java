package org.redwingramp.cli.internal;

import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Selects the events that tell who owned a key of a service and why: those about the key
 * or a range that contains it, the contact to the targets that these name, and the
 * changes of the leadership. Immutable and thread safe.
 *
 * @param service the name of the service
 * @param key the key
 */
record KeyFilter(String service, long key) {

	private static final Pattern FORMAT = Pattern.compile("(.+)/(\\d{1,18})");

	private static final Set<String> CONTACT_DECISIONS = Set.of("target-contact", "target-leaves");

	private static final Set<String> LEADER_DECISIONS = Set.of("leadership-began", "leadership-ended",
			"suspension-noticed");

	static KeyFilter parse(String text) throws CliException {
		Matcher parts = FORMAT.matcher(text);
		if (!parts.matches()) {
			throw CliException.usage("invalid value \"" + text + "\" for --" + CommandOptions.KEY
					+ "; allowed: the name of a service, a slash and a key, for example search/48301");
		}
		return new KeyFilter(parts.group(1), Long.parseLong(parts.group(2)));
	}

	List<LogEvent> select(List<LogEvent> events) throws CliException {
		Set<String> targets = events.stream()
			.filter(this::about)
			.map((event) -> event.text("target"))
			.filter((target) -> !target.isEmpty())
			.collect(Collectors.toSet());
		if (events.stream().noneMatch(this::about)) {
			throw CliException.usage("no event mentions key " + this.key + " of service " + this.service
					+ "; pass the logs of all control replicas and entry instances for the time in question");
		}
		return events.stream()
			.filter((event) -> about(event) || changesLeadership(event)
					|| (CONTACT_DECISIONS.contains(event.text("decision")) && targets.contains(event.text("target"))))
			.toList();
	}

	// An event without a service may be about any.
	private boolean about(LogEvent event) {
		boolean ofService = event.text("service").isEmpty() || event.hasValue("service", this.service);
		return ofService && (event.coversKey(this.key) || event.number("key").filter(this::isKey).isPresent());
	}

	private boolean isKey(long number) {
		return number == this.key;
	}

	private static boolean changesLeadership(LogEvent event) {
		return event.text("name").equals("role-changed") || LEADER_DECISIONS.contains(event.text("decision"));
	}

}

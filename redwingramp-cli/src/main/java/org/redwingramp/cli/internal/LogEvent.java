package org.redwingramp.cli.internal;

import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * An event of a structured log. Thread safe as long as the fields aren't modified.
 *
 * @param fields the fields of the event
 */
record LogEvent(JsonNode fields) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	// Two numbers, each short enough for a long.
	private static final Pattern RANGE = Pattern.compile("(\\d{1,18})-(\\d{1,18})");

	private static final Set<String> HEADER_FIELDS = Set.of("event", "name", "at", "instance");

	// Skips text before the JSON object, such as the timestamp of a log collector.
	static Optional<LogEvent> parse(String text) {
		int start = text.indexOf('{');
		if (start < 0) {
			return Optional.empty();
		}
		try {
			JsonNode fields = MAPPER.readTree(text.substring(start));
			return Optional.of(new LogEvent(fields))
				.filter((event) -> fields.has("event") && fields.path("at").isNumber());
		}
		catch (IOException ex) {
			// The line is truncated; the command reports the number of skipped lines.
			return Optional.empty();
		}
	}

	long atMillis() {
		return this.fields.path("at").asLong();
	}

	String text(String field) {
		return this.fields.path(field).asText("");
	}

	Optional<Long> number(String field) {
		return Optional.of(this.fields.path(field)).filter(JsonNode::isNumber).map(JsonNode::asLong);
	}

	boolean hasValue(String field, String value) {
		return text(field).equals(value);
	}

	// Returns whether the event is about a key range that contains the key.
	boolean coversKey(long key) {
		Matcher range = RANGE.matcher(text("keys"));
		return key >= 0 && range.matches() && Long.parseLong(range.group(1)) <= key
				&& Long.parseLong(range.group(2)) >= key;
	}

	String outcomeLabel() {
		String reason = text("reason").split(" ")[0];
		return text("name") + (reason.isEmpty() ? "" : ":" + reason);
	}

	String toText() {
		String otherFields = StreamSupport
			.stream(((Iterable<String>) () -> this.fields.fieldNames()).spliterator(), false)
			.filter((name) -> !HEADER_FIELDS.contains(name))
			.map((name) -> name + "=" + this.fields.path(name).asText())
			.collect(Collectors.joining(" "));
		return atMillis() + " " + text("instance") + " " + text("event") + " " + text("name") + " " + otherFields;
	}

}

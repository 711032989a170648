package org.redwingramp.cli.internal;

import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * An event of a structured log. Immutable by convention and thread safe.
 *
 * @param tree the fields
 */
record LogLine(JsonNode tree) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Set<String> HEAD = Set.of("event", "name", "at", "instance");

	// Text before the object, such as a collector's time stamp, is passed over.
	static Optional<LogLine> parse(String text) {
		int start = text.indexOf('{');
		if (start < 0) {
			return Optional.empty();
		}
		try {
			JsonNode tree = MAPPER.readTree(text.substring(start));
			return Optional.of(new LogLine(tree)).filter((line) -> tree.has("event") && tree.path("at").isNumber());
		}
		catch (IOException ex) {
			// A line that was cut off; the command reports how many were left out.
			return Optional.empty();
		}
	}

	long at() {
		return this.tree.path("at").asLong();
	}

	String text(String field) {
		return this.tree.path(field).asText("");
	}

	Optional<Long> number(String field) {
		return Optional.of(this.tree.path(field)).filter(JsonNode::isNumber).map(JsonNode::asLong);
	}

	boolean has(String field, String value) {
		return text(field).equals(value);
	}

	// Returns whether the line tells of a range of keys that holds the key.
	boolean covers(long key) {
		String[] ends = text("keys").split("-");
		return key >= 0 && ends.length == 2 && Long.parseLong(ends[0]) <= key && Long.parseLong(ends[1]) >= key;
	}

	String outcome() {
		String reason = text("reason").split(" ")[0];
		return text("name") + (reason.isEmpty() ? "" : ":" + reason);
	}

	String readable() {
		String rest = StreamSupport.stream(((Iterable<String>) () -> this.tree.fieldNames()).spliterator(), false)
			.filter((name) -> !HEAD.contains(name))
			.map((name) -> name + "=" + this.tree.path(name).asText())
			.collect(Collectors.joining(" "));
		return at() + " " + text("instance") + " " + text("event") + " " + text("name") + " " + rest;
	}

}

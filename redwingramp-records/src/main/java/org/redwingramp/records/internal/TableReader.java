package org.redwingramp.records.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads the fields of one TOML table. Each read adds a finding if the field is missing,
 * has the wrong type or is out of bounds, and then returns a fallback, so that all
 * mistakes are found in one pass. {@link #finish()} reports missing and unknown fields.
 * Not thread safe; used by one parse.
 */
public final class TableReader {

	private final ObjectNode table;

	private final String path;

	private final FindingCollector findings;

	private final boolean absent;

	private final Set<String> known = new LinkedHashSet<>();

	private final Map<String, String> missing = new LinkedHashMap<>();

	TableReader(ObjectNode table, String path, FindingCollector findings) {
		this(table, path, findings, false);
	}

	private TableReader(ObjectNode table, String path, FindingCollector findings, boolean absent) {
		this.table = table;
		this.path = path;
		this.findings = findings;
		this.absent = absent;
	}

	/**
	 * Returns the full path of a field.
	 * @param name the field's name
	 * @return the path
	 */
	public String path(String name) {
		return this.path.isEmpty() ? name : this.path + "." + name;
	}

	/**
	 * Adds a finding at a field.
	 * @param name the field's name
	 * @param message what was found and what is allowed
	 */
	public void refuse(String name, String message) {
		this.findings.add(path(name), message);
	}

	/**
	 * Returns whether nothing was found in the fields, so that they may be compared.
	 * @param names the fields' names
	 * @return whether all of them are valid
	 */
	public boolean valid(String... names) {
		return !this.absent && Arrays.stream(names)
			.noneMatch((name) -> this.missing.containsKey(name) || this.findings.has(path(name)));
	}

	/**
	 * Returns whether the table has a field.
	 * @param name the field's name
	 * @return whether it is there
	 */
	public boolean has(String name) {
		this.known.add(name);
		return this.table.has(name);
	}

	/**
	 * Returns the names of all fields of a table whose fields are chosen by its author.
	 * @return the names in the order of the file
	 */
	public List<String> names() {
		List<String> names = new ArrayList<>();
		this.table.fieldNames().forEachRemaining(names::add);
		this.known.addAll(names);
		return names;
	}

	/**
	 * Reads a required text.
	 * @param name the field's name
	 * @param rule what is allowed
	 * @return the text, or an empty one after a finding
	 */
	public String text(String name, TextRule rule) {
		require(name, rule.allowed());
		return optionalText(name, rule).orElse("");
	}

	/**
	 * Reads an optional text.
	 * @param name the field's name
	 * @param rule what is allowed
	 * @return the text, or empty if it is missing or invalid
	 */
	public Optional<String> optionalText(String name, TextRule rule) {
		return field(name).flatMap((node) -> checkedText(node, path(name), rule));
	}

	private Optional<String> checkedText(JsonNode node, String place, TextRule rule) {
		if (!node.isTextual()) {
			this.findings.add(place, "found " + type(node) + "; allowed is a string: " + rule.allowed());
			return Optional.empty();
		}
		if (!rule.allows(node.textValue())) {
			this.findings.add(place, "found " + quote(node.textValue()) + "; allowed: " + rule.allowed());
			return Optional.empty();
		}
		return Optional.of(node.textValue());
	}

	/**
	 * Reads a text that must not appear in any finding.
	 * @param name the field's name
	 * @return the text, or empty if it is missing or no string
	 */
	public Optional<String> hiddenText(String name) {
		return field(name).flatMap((node) -> {
			if (!node.isTextual()) {
				refuse(name, "found " + type(node) + "; allowed is a string");
			}
			return Optional.ofNullable(node.textValue());
		});
	}

	/**
	 * Reads a required integer.
	 * @param name the field's name
	 * @param minimum the smallest value
	 * @param maximum the largest value
	 * @return the value, or the smallest one after a finding
	 */
	public long number(String name, long minimum, long maximum) {
		require(name, integers(minimum, maximum));
		return optionalNumber(name, minimum, maximum).orElse(minimum);
	}

	/**
	 * Reads an optional integer.
	 * @param name the field's name
	 * @param minimum the smallest value
	 * @param maximum the largest value
	 * @return the value, or empty if it is missing or invalid
	 */
	public OptionalLong optionalNumber(String name, long minimum, long maximum) {
		Optional<JsonNode> node = field(name);
		if (node.isEmpty()) {
			return OptionalLong.empty();
		}
		JsonNode value = node.get();
		if (value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= minimum
				&& value.longValue() <= maximum) {
			return OptionalLong.of(value.longValue());
		}
		String found = value.isIntegralNumber() ? value.asText() : type(value);
		refuse(name, "found " + found + "; allowed: " + integers(minimum, maximum));
		return OptionalLong.empty();
	}

	private static String integers(long minimum, long maximum) {
		return "an integer from " + minimum + " to " + maximum;
	}

	/**
	 * Reads a boolean.
	 * @param name the field's name
	 * @return the value, or empty if it is missing or invalid
	 */
	public Optional<Boolean> flag(String name) {
		return field(name).flatMap((node) -> {
			if (!node.isBoolean()) {
				refuse(name, "found " + type(node) + "; allowed: true or false");
				return Optional.empty();
			}
			return Optional.of(node.booleanValue());
		});
	}

	/**
	 * Reads a required boolean.
	 * @param name the field's name
	 * @return the value, or {@code false} after a finding
	 */
	public boolean requiredFlag(String name) {
		require(name, "true or false");
		return flag(name).orElse(false);
	}

	/**
	 * Reads a list of different texts.
	 * @param name the field's name
	 * @param rule what each text may contain
	 * @param minimum the smallest number of texts
	 * @param maximum the largest number of texts
	 * @return the valid texts, empty if the list is missing
	 */
	public List<String> texts(String name, TextRule rule, int minimum, int maximum) {
		if (minimum > 0) {
			require(name, "a list of " + minimum + " to " + maximum + " strings");
		}
		Set<String> seen = new HashSet<>();
		List<String> texts = new ArrayList<>();
		List<JsonNode> items = items(name, minimum, maximum);
		for (int index = 0; index < items.size(); index++) {
			String place = path(name) + "[" + index + "]";
			checkedText(items.get(index), place, rule).ifPresent((text) -> {
				if (seen.add(text)) {
					texts.add(text);
				}
				else {
					this.findings.add(place, "found " + quote(text) + " a second time; each item is allowed once");
				}
			});
		}
		return texts;
	}

	private List<JsonNode> items(String name, int minimum, int maximum) {
		Optional<JsonNode> node = field(name);
		if (node.isEmpty()) {
			return List.of();
		}
		JsonNode list = node.get();
		if (!list.isArray() || list.size() < minimum || list.size() > maximum) {
			refuse(name, "found " + (list.isArray() ? "a list of " + list.size() : type(list)) + "; allowed: a list of "
					+ minimum + " to " + maximum + " items");
			return List.of();
		}
		return list.valueStream().toList();
	}

	/**
	 * Reads a list of tables.
	 * @param name the field's name
	 * @param minimum the smallest number of tables
	 * @param maximum the largest number of tables
	 * @return readers of the tables, empty if the list is missing
	 */
	public List<TableReader> tables(String name, int minimum, int maximum) {
		if (minimum > 0) {
			require(name, "a list of " + minimum + " to " + maximum + " tables");
		}
		List<JsonNode> items = items(name, minimum, maximum);
		return IntStream.range(0, items.size())
			.mapToObj((index) -> child(items.get(index), path(name) + "[" + index + "]"))
			.toList();
	}

	/**
	 * Reads a required table.
	 * @param name the table's name
	 * @return its reader; after a finding one that reports nothing
	 */
	public TableReader table(String name) {
		require(name, "the table [" + path(name) + "]");
		return optionalTable(name).orElseGet(() -> absent(path(name)));
	}

	/**
	 * Reads an optional table.
	 * @param name the table's name
	 * @return its reader, or empty if it is missing
	 */
	public Optional<TableReader> optionalTable(String name) {
		return field(name).map((node) -> child(node, path(name)));
	}

	/**
	 * Reads an optional table all of whose fields have defaults.
	 * @param name the table's name
	 * @return its reader; one without fields if the table is missing
	 */
	public TableReader tableOrDefaults(String name) {
		return optionalTable(name).orElseGet(() -> absent(path(name)));
	}

	private TableReader child(JsonNode node, String place) {
		if (node instanceof ObjectNode fields) {
			return new TableReader(fields, place, this.findings);
		}
		this.findings.add(place, "found " + type(node) + "; allowed is a table");
		return absent(place);
	}

	private TableReader absent(String place) {
		return new TableReader(JsonNodeFactory.instance.objectNode(), place, this.findings, true);
	}

	/**
	 * Reports the required fields that are missing and the fields that were not read. A
	 * required field under a misspelled name is one finding.
	 */
	public void finish() {
		finishRequired();
		unread().forEach((name) -> refuseUnknown(name, Texts.nearest(name, this.known)));
	}

	/**
	 * Reports the required fields that are missing, and no other field. Serves tables
	 * whose other fields have unknown rules.
	 */
	public void finishRequired() {
		this.missing.forEach((name, allowed) -> {
			Optional<String> misspelled = Texts.nearest(name, unread());
			if (misspelled.isPresent()) {
				refuseUnknown(misspelled.get(), Optional.of(name));
				this.known.add(misspelled.get());
			}
			else {
				refuse(name, "missing; required: " + allowed);
			}
		});
		this.missing.clear();
	}

	private List<String> unread() {
		return this.table.properties()
			.stream()
			.map(Map.Entry::getKey)
			.filter((name) -> !this.known.contains(name))
			.toList();
	}

	private void refuseUnknown(String name, Optional<String> nearest) {
		String hint = nearest.map((similar) -> "did you mean " + similar + "?")
			.orElseGet(() -> "known here: " + String.join(", ", this.known));
		boolean shown = nearest.isPresent() || this.findings.shows(name);
		this.findings.add(this.findings.location(path(name)), shown ? path(name) : this.path,
				"unknown name " + (shown ? Texts.quote(name) : quote(name)) + "; " + hint);
	}

	/**
	 * Returns a found text in quotes, or its length only if it may be a secret.
	 * @param text the text
	 * @return what a message may show
	 */
	String quote(String text) {
		return this.findings.quote(text);
	}

	private Optional<JsonNode> field(String name) {
		this.known.add(name);
		return Optional.ofNullable(this.table.get(name));
	}

	/**
	 * States that a field is required. Its absence is reported by {@link #finish()}.
	 * @param name the field's name
	 * @param allowed what is allowed
	 */
	public void require(String name, String allowed) {
		if (!has(name) && !this.absent) {
			this.missing.put(name, allowed);
		}
	}

	private static String type(JsonNode node) {
		return switch (node.getNodeType()) {
			case ARRAY -> "a list";
			case OBJECT -> "a table";
			case STRING -> "a string";
			case BOOLEAN -> "a boolean";
			case NUMBER -> node.isIntegralNumber() ? "an integer" : "a number with a fraction";
			default -> "another type";
		};
	}

}

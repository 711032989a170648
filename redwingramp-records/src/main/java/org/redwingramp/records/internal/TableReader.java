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
 * Reads and validates the fields of a TOML table. If a field has the wrong type or an
 * invalid value, the read method adds a finding and returns a default, so that one pass
 * finds all errors. {@link #finish()} reports missing and unknown fields. Not thread
 * safe; use one instance per table and parse.
 */
public final class TableReader {

	private final ObjectNode table;

	private final String path;

	private final FindingCollector findings;

	/** Whether the table is missing or invalid; its missing fields are not reported. */
	private final boolean absent;

	private final Set<String> knownFields = new LinkedHashSet<>();

	/** Describes for each missing required field the allowed values. */
	private final Map<String, String> missingFields = new LinkedHashMap<>();

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
	 * @param name the name of the field
	 * @return the path
	 */
	public String path(String name) {
		return this.path.isEmpty() ? name : this.path + "." + name;
	}

	/**
	 * Adds a finding about a field.
	 * @param name the name of the field
	 * @param message describes the invalid value and the allowed values
	 */
	public void addFinding(String name, String message) {
		this.findings.add(path(name), message);
	}

	/**
	 * Returns whether the given fields have no findings, so that their values can be
	 * compared. Always returns {@code false} if the table itself is absent.
	 * @param names the names of the fields
	 * @return whether all of them are valid
	 */
	public boolean valid(String... names) {
		return !this.absent && Arrays.stream(names)
			.noneMatch((name) -> this.missingFields.containsKey(name) || this.findings.hasFindingAt(path(name)));
	}

	/**
	 * Returns whether the table has the given field, which is from then on a known field.
	 * @param name the name of the field
	 * @return whether the field is present
	 */
	public boolean has(String name) {
		this.knownFields.add(name);
		return this.table.has(name);
	}

	/**
	 * Returns the names of all fields of a table whose author chooses the field names.
	 * All of them become known fields.
	 * @return the names in the order of the file
	 */
	public List<String> fieldNames() {
		List<String> names = new ArrayList<>();
		this.table.fieldNames().forEachRemaining(names::add);
		this.knownFields.addAll(names);
		return names;
	}

	/**
	 * Reads a required string.
	 * @param name the name of the field
	 * @param rule the rule for the text
	 * @return the text, or an empty text if it is missing or invalid
	 */
	public String text(String name, TextRule rule) {
		require(name, rule.description());
		return optionalText(name, rule).orElse("");
	}

	/**
	 * Reads an optional string.
	 * @param name the name of the field
	 * @param rule the rule for the text
	 * @return the text, or empty if it is missing or invalid
	 */
	public Optional<String> optionalText(String name, TextRule rule) {
		return findField(name).flatMap((node) -> checkedText(node, path(name), rule));
	}

	private Optional<String> checkedText(JsonNode node, String fieldPath, TextRule rule) {
		if (!node.isTextual()) {
			this.findings.add(fieldPath,
					"found " + typeName(node) + " instead of a string; allowed: " + rule.description());
			return Optional.empty();
		}
		if (!rule.allows(node.textValue())) {
			this.findings.add(fieldPath, "found " + quote(node.textValue()) + "; allowed: " + rule.description());
			return Optional.empty();
		}
		return Optional.of(node.textValue());
	}

	/**
	 * Reads an optional string that may be a secret and must not appear in any finding.
	 * @param name the name of the field
	 * @return the text, or empty if the field is missing or is not a string
	 */
	public Optional<String> secretText(String name) {
		return findField(name).flatMap((node) -> {
			if (!node.isTextual()) {
				addFinding(name, "found " + typeName(node) + " instead of a string");
			}
			return Optional.ofNullable(node.textValue());
		});
	}

	/**
	 * Reads a required integer.
	 * @param name the name of the field
	 * @param minimum the minimum value
	 * @param maximum the maximum value
	 * @return the value, or the minimum if it is missing or invalid
	 */
	public long number(String name, long minimum, long maximum) {
		require(name, integerRange(minimum, maximum));
		return optionalNumber(name, minimum, maximum).orElse(minimum);
	}

	/**
	 * Reads an optional integer.
	 * @param name the name of the field
	 * @param minimum the minimum value
	 * @param maximum the maximum value
	 * @return the value, or empty if it is missing or invalid
	 */
	public OptionalLong optionalNumber(String name, long minimum, long maximum) {
		Optional<JsonNode> node = findField(name);
		if (node.isEmpty()) {
			return OptionalLong.empty();
		}
		JsonNode value = node.get();
		if (value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= minimum
				&& value.longValue() <= maximum) {
			return OptionalLong.of(value.longValue());
		}
		String found = value.isIntegralNumber() ? value.asText() : typeName(value);
		addFinding(name, "found " + found + "; allowed: " + integerRange(minimum, maximum));
		return OptionalLong.empty();
	}

	private static String integerRange(long minimum, long maximum) {
		return "an integer from " + minimum + " to " + maximum;
	}

	/**
	 * Reads an optional boolean.
	 * @param name the name of the field
	 * @return the value, or empty if it is missing or invalid
	 */
	public Optional<Boolean> optionalFlag(String name) {
		return findField(name).flatMap((node) -> {
			if (!node.isBoolean()) {
				addFinding(name, "found " + typeName(node) + "; allowed: true or false");
				return Optional.empty();
			}
			return Optional.of(node.booleanValue());
		});
	}

	/**
	 * Reads a required boolean.
	 * @param name the name of the field
	 * @return the value, or {@code false} if it is missing or invalid
	 */
	public boolean flag(String name) {
		require(name, "true or false");
		return optionalFlag(name).orElse(false);
	}

	/**
	 * Reads a list of distinct strings.
	 * @param name the name of the field
	 * @param rule the rule for each text
	 * @param minimum the minimum number of items
	 * @param maximum the maximum number of items
	 * @return the valid texts, or an empty list if the list is missing
	 */
	public List<String> distinctTexts(String name, TextRule rule, int minimum, int maximum) {
		if (minimum > 0) {
			require(name, "a list of " + minimum + " to " + maximum + " strings");
		}
		Set<String> seen = new HashSet<>();
		List<String> texts = new ArrayList<>();
		List<JsonNode> items = listItems(name, minimum, maximum);
		for (int index = 0; index < items.size(); index++) {
			String itemPath = path(name) + "[" + index + "]";
			checkedText(items.get(index), itemPath, rule).ifPresent((text) -> {
				if (seen.add(text)) {
					texts.add(text);
				}
				else {
					this.findings.add(itemPath,
							"found " + quote(text) + " more than once; list items must be distinct");
				}
			});
		}
		return texts;
	}

	private List<JsonNode> listItems(String name, int minimum, int maximum) {
		Optional<JsonNode> node = findField(name);
		if (node.isEmpty()) {
			return List.of();
		}
		JsonNode list = node.get();
		if (!list.isArray() || list.size() < minimum || list.size() > maximum) {
			addFinding(name, "found " + (list.isArray() ? "a list of " + list.size() + " items" : typeName(list))
					+ "; allowed: a list of " + minimum + " to " + maximum + " items");
			return List.of();
		}
		return list.valueStream().toList();
	}

	/**
	 * Reads a list of tables.
	 * @param name the name of the field
	 * @param minimum the minimum number of tables
	 * @param maximum the maximum number of tables
	 * @return readers of the tables, or an empty list if the list is missing
	 */
	public List<TableReader> tables(String name, int minimum, int maximum) {
		if (minimum > 0) {
			require(name, "a list of " + minimum + " to " + maximum + " tables");
		}
		List<JsonNode> items = listItems(name, minimum, maximum);
		return IntStream.range(0, items.size())
			.mapToObj((index) -> childReader(items.get(index), path(name) + "[" + index + "]"))
			.toList();
	}

	/**
	 * Reads a required table.
	 * @param name the name of the table
	 * @return the reader of the table; if the table is missing or invalid, a reader
	 * without fields that reports no missing fields
	 */
	public TableReader table(String name) {
		require(name, "the table [" + path(name) + "]");
		return optionalTable(name).orElseGet(() -> absentTable(path(name)));
	}

	/**
	 * Reads an optional table.
	 * @param name the name of the table
	 * @return the reader of the table, or empty if the table is missing
	 */
	public Optional<TableReader> optionalTable(String name) {
		return findField(name).map((node) -> childReader(node, path(name)));
	}

	/**
	 * Reads an optional table whose fields all have defaults.
	 * @param name the name of the table
	 * @return the reader of the table; if the table is missing, a reader without fields
	 */
	public TableReader tableOrDefaults(String name) {
		return optionalTable(name).orElseGet(() -> absentTable(path(name)));
	}

	private TableReader childReader(JsonNode node, String tablePath) {
		if (node instanceof ObjectNode fields) {
			return new TableReader(fields, tablePath, this.findings);
		}
		this.findings.add(tablePath, "found " + typeName(node) + " instead of a table");
		return absentTable(tablePath);
	}

	private TableReader absentTable(String tablePath) {
		return new TableReader(JsonNodeFactory.instance.objectNode(), tablePath, this.findings, true);
	}

	/**
	 * Reports required fields that are missing and fields that are unknown, that is, were
	 * not read. A required field with a misspelled name leads to one finding only.
	 */
	public void finish() {
		reportMissingFields();
		unknownFields().forEach((name) -> addUnknownFieldFinding(name, Texts.mostSimilar(name, this.knownFields)));
	}

	/**
	 * Reports required fields that are missing, but no unknown fields. Use this method
	 * for tables whose schema is not known.
	 */
	public void reportMissingFields() {
		this.missingFields.forEach((name, allowed) -> {
			Optional<String> misspelled = Texts.mostSimilar(name, unknownFields());
			if (misspelled.isPresent()) {
				addUnknownFieldFinding(misspelled.get(), Optional.of(name));
				this.knownFields.add(misspelled.get());
			}
			else {
				addFinding(name, "missing; required: " + allowed);
			}
		});
		this.missingFields.clear();
	}

	private List<String> unknownFields() {
		return this.table.properties()
			.stream()
			.map(Map.Entry::getKey)
			.filter((name) -> !this.knownFields.contains(name))
			.toList();
	}

	private void addUnknownFieldFinding(String name, Optional<String> similarName) {
		String hint = similarName.map((similar) -> "did you mean " + similar + "?")
			.orElseGet(() -> "known names: " + String.join(", ", this.knownFields));
		boolean canShowName = similarName.isPresent() || this.findings.canShow(name);
		this.findings.add(this.findings.location(path(name)), canShowName ? path(name) : this.path,
				"unknown name " + (canShowName ? Texts.quote(name) : quote(name)) + "; " + hint);
	}

	/**
	 * Formats a text for a message.
	 * @param text the text
	 * @return the text in quotation marks, or only its length if it may be a secret
	 */
	String quote(String text) {
		return this.findings.quote(text);
	}

	private Optional<JsonNode> findField(String name) {
		this.knownFields.add(name);
		return Optional.ofNullable(this.table.get(name));
	}

	/**
	 * Declares a field as required. If it is missing, {@link #finish()} reports it.
	 * @param name the name of the field
	 * @param allowed describes the allowed values
	 */
	public void require(String name, String allowed) {
		if (!has(name) && !this.absent) {
			this.missingFields.put(name, allowed);
		}
	}

	private static String typeName(JsonNode node) {
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

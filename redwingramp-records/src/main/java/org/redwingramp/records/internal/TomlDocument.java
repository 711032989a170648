package org.redwingramp.records.internal;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * A parsed TOML file that respects the limits on size, nesting and list lengths. Callers
 * must not modify the tree; as long as none does, this class is immutable and thread
 * safe.
 */
public final class TomlDocument {

	/** The maximum nesting of tables and lists; records need four levels. */
	static final int MAX_NESTING = 8;

	/** The maximum number of items of a list or table. */
	static final int MAX_ITEMS = 1000;

	/** The maximum length of a field name. It bounds the stored path of each field. */
	private static final int MAX_FIELD_NAME_LENGTH = 256;

	private static final int MAX_NUMBER_LENGTH = 32;

	private static final TomlMapper MAPPER = TomlMapper.builder(TomlFactory.builder()
		.streamReadConstraints(
				StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).maxNumberLength(MAX_NUMBER_LENGTH).build())
		.build()).build();

	private final ObjectNode root;

	private TomlDocument(ObjectNode root) {
		this.root = root;
	}

	/**
	 * Parses a file.
	 * @param text the content of the file
	 * @param maxBytes the maximum size in bytes
	 * @param findings receives the findings
	 * @return the document, or empty if the file is not valid TOML or exceeds a limit
	 */
	public static Optional<TomlDocument> parse(byte[] text, int maxBytes, FindingCollector findings) {
		if (text.length > maxBytes) {
			findings.add("", "the file must not exceed " + maxBytes + " bytes (was " + text.length + ")");
			return Optional.empty();
		}
		return decode(text, findings).flatMap((characters) -> parse(characters, findings));
	}

	private static Optional<String> decode(byte[] text, FindingCollector findings) {
		try {
			return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text)).toString());
		}
		catch (CharacterCodingException ex) {
			findings.add("", "the file is not valid UTF-8; TOML files must be encoded in UTF-8");
			return Optional.empty();
		}
	}

	private static Optional<TomlDocument> parse(String text, FindingCollector findings) {
		try {
			JsonNode tree = MAPPER.readTree(text);
			ObjectNode root = (tree instanceof ObjectNode table) ? table : MAPPER.createObjectNode();
			String violation = limitViolation(root, "the file", 1);
			if (!violation.isEmpty()) {
				findings.add("", violation);
				return Optional.empty();
			}
			findings.addLocations(new LocationScanner(text).scan());
			return Optional.of(new TomlDocument(root));
		}
		catch (StreamConstraintsException ex) {
			findings.add("", "the file exceeds a limit: the nesting of tables and lists must not exceed " + MAX_NESTING
					+ " levels, and numbers must not exceed " + MAX_NUMBER_LENGTH + " characters");
		}
		catch (JsonProcessingException ex) {
			Location location = (ex.getLocation() != null)
					? new Location(ex.getLocation().getLineNr(), ex.getLocation().getColumnNr()) : Location.UNKNOWN;
			findings.add(location, "",
					"the file is not valid TOML at or before this location" + (findings.canShow(ex.getOriginalMessage())
							? ": " + findings.quote(ex.getOriginalMessage()) : ""));
		}
		return Optional.empty();
	}

	// Returns a message about the first limit that the node exceeds, or an empty text.
	private static String limitViolation(JsonNode node, String description, int depth) {
		if (!node.isContainerNode()) {
			return "";
		}
		if (depth > MAX_NESTING) {
			return "the nesting of tables and lists must not exceed " + MAX_NESTING + " levels";
		}
		if (node.size() > MAX_ITEMS) {
			return description + " must not exceed " + MAX_ITEMS + " items (was " + node.size() + ")";
		}
		if (node.properties().stream().anyMatch((field) -> field.getKey().length() > MAX_FIELD_NAME_LENGTH)) {
			return description + " has a field name of more than " + MAX_FIELD_NAME_LENGTH + " characters";
		}
		return node.properties()
			.stream()
			.map((field) -> limitViolation(field.getValue(), "a list or table", depth + 1))
			.filter((message) -> !message.isEmpty())
			.findFirst()
			.orElseGet(() -> limitViolationOfItems(node, description, depth));
	}

	private static String limitViolationOfItems(JsonNode node, String description, int depth) {
		if (node.isObject()) {
			return "";
		}
		return node.valueStream()
			.map((item) -> limitViolation(item, description, depth + 1))
			.filter((message) -> !message.isEmpty())
			.findFirst()
			.orElse("");
	}

	/**
	 * Returns a reader of the top-level table.
	 * @param findings receives the findings
	 * @return the reader
	 */
	public TableReader reader(FindingCollector findings) {
		return new TableReader(this.root, "", findings);
	}

}

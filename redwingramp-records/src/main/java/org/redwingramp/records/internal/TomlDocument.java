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
 * A parsed TOML file within the limits on size, nesting and list lengths. Immutable by
 * convention and thread safe as long as nobody changes the tree.
 */
public final class TomlDocument {

	/** The deepest nesting of tables and lists; records need four levels. */
	static final int MAX_NESTING = 8;

	/** The longest list or table. */
	static final int MAX_ITEMS = 1000;

	/** Bounds the paths of fields, which are kept for each field. */
	private static final int MAX_NAME = 256;

	private static final int MAX_NUMBER_CHARACTERS = 32;

	private static final TomlMapper MAPPER = TomlMapper
		.builder(TomlFactory.builder()
			.streamReadConstraints(StreamReadConstraints.builder()
				.maxNestingDepth(MAX_NESTING)
				.maxNumberLength(MAX_NUMBER_CHARACTERS)
				.build())
			.build())
		.build();

	private final ObjectNode root;

	private TomlDocument(ObjectNode root) {
		this.root = root;
	}

	/**
	 * Parses a file.
	 * @param text the bytes of the file
	 * @param maxBytes the largest size in bytes
	 * @param findings receives what is wrong
	 * @return the document, or empty if it can't be read at all
	 */
	public static Optional<TomlDocument> parse(byte[] text, int maxBytes, FindingCollector findings) {
		if (text.length > maxBytes) {
			findings.add("", "the file has " + text.length + " bytes; allowed are at most " + maxBytes);
			return Optional.empty();
		}
		return decode(text, findings).flatMap((characters) -> parse(characters, findings));
	}

	private static Optional<String> decode(byte[] text, FindingCollector findings) {
		try {
			return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text)).toString());
		}
		catch (CharacterCodingException ex) {
			findings.add("", "the file isn't valid UTF-8; TOML files must be UTF-8");
			return Optional.empty();
		}
	}

	private static Optional<TomlDocument> parse(String text, FindingCollector findings) {
		try {
			JsonNode tree = MAPPER.readTree(text);
			ObjectNode root = (tree instanceof ObjectNode table) ? table : MAPPER.createObjectNode();
			String excess = excess(root, "the file", 1);
			if (!excess.isEmpty()) {
				findings.add("", excess);
				return Optional.empty();
			}
			findings.locate(new LocationScanner(text).scan());
			return Optional.of(new TomlDocument(root));
		}
		catch (StreamConstraintsException ex) {
			findings.add("", "the file exceeds a limit: tables and lists may be nested " + MAX_NESTING
					+ " levels deep and numbers may have " + MAX_NUMBER_CHARACTERS + " characters");
		}
		catch (JsonProcessingException ex) {
			Location place = (ex.getLocation() != null)
					? new Location(ex.getLocation().getLineNr(), ex.getLocation().getColumnNr()) : Location.UNKNOWN;
			findings.add(place, "", "the file isn't valid TOML at or before this place"
					+ (findings.shows(ex.getOriginalMessage()) ? ": " + findings.quote(ex.getOriginalMessage()) : ""));
		}
		return Optional.empty();
	}

	private static String excess(JsonNode node, String path, int depth) {
		if (!node.isContainerNode()) {
			return "";
		}
		if (depth > MAX_NESTING) {
			return "tables and lists are nested more than " + MAX_NESTING + " levels deep";
		}
		if (node.size() > MAX_ITEMS) {
			return path + " has " + node.size() + " items; allowed are at most " + MAX_ITEMS;
		}
		if (node.properties().stream().anyMatch((field) -> field.getKey().length() > MAX_NAME)) {
			return path + " has a name of more than " + MAX_NAME + " characters";
		}
		return node.properties()
			.stream()
			.map((field) -> excess(field.getValue(), "a list or table", depth + 1))
			.filter((message) -> !message.isEmpty())
			.findFirst()
			.orElseGet(() -> excessOfItems(node, path, depth));
	}

	private static String excessOfItems(JsonNode node, String path, int depth) {
		if (node.isObject()) {
			return "";
		}
		return node.valueStream()
			.map((item) -> excess(item, path, depth + 1))
			.filter((message) -> !message.isEmpty())
			.findFirst()
			.orElse("");
	}

	/**
	 * Returns a reader of the top-level table.
	 * @param findings receives what is wrong
	 * @return the reader
	 */
	public TableReader reader(FindingCollector findings) {
		return new TableReader(this.root, "", findings);
	}

}

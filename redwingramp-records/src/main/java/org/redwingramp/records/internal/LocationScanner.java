package org.redwingramp.records.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps the path of each field of a TOML text to its line and column. This scanner is
 * needed because the TOML parser reports no locations for the fields of a valid text: it
 * emits tokens only after it has built the whole tree. The text must have been accepted
 * by that parser, since this class does not validate it. Not thread safe; use one
 * instance per text.
 */
final class LocationScanner {

	private final String text;

	private final Map<String, Location> locations = new HashMap<>();

	private final Map<String, Integer> arrayTableCounts = new HashMap<>();

	private int position;

	private int line = 1;

	private int lineStart;

	LocationScanner(String text) {
		this.text = text;
	}

	Map<String, Location> scan() {
		String table = "";
		skipWhitespace(true);
		while (!atEnd()) {
			if (peek() == '[') {
				table = scanTableHeader();
			}
			else {
				scanKeyValuePair(table);
			}
			skipWhitespace(true);
		}
		return this.locations;
	}

	private String scanTableHeader() {
		Location location = currentLocation();
		advance();
		boolean array = peek() == '[';
		if (array) {
			advance();
		}
		List<String> names = scanDottedKey();
		skipPast(']');
		if (array) {
			skipPast(']');
		}
		String path = resolveTablePath(names.subList(0, names.size() - 1));
		String fullPath = join(path, names.get(names.size() - 1));
		if (array) {
			int index = this.arrayTableCounts.merge(fullPath, 1, Integer::sum) - 1;
			this.locations.putIfAbsent(fullPath, location);
			fullPath = fullPath + "[" + index + "]";
		}
		this.locations.putIfAbsent(fullPath, location);
		return fullPath;
	}

	// Appends to the name of each array of tables the index of its latest table.
	private String resolveTablePath(List<String> names) {
		String path = "";
		for (String name : names) {
			path = join(path, name);
			Integer count = this.arrayTableCounts.get(path);
			path = (count != null) ? path + "[" + (count - 1) + "]" : path;
		}
		return path;
	}

	private void scanKeyValuePair(String table) {
		Location location = currentLocation();
		String path = table;
		for (String name : scanDottedKey()) {
			path = join(path, name);
			this.locations.putIfAbsent(path, location);
		}
		skipPast('=');
		skipWhitespace(false);
		scanValue(path);
	}

	private void scanValue(String path) {
		switch (peek()) {
			case '"', '\'' -> scanString();
			case '[' -> scanArray(path);
			case '{' -> scanInlineTable(path);
			default -> skipScalar();
		}
	}

	private void scanArray(String path) {
		advance();
		skipWhitespace(true);
		for (int index = 0; !atEnd() && peek() != ']'; index++) {
			String item = path + "[" + index + "]";
			this.locations.putIfAbsent(item, currentLocation());
			scanValue(item);
			skipSeparator();
		}
		advance();
	}

	private void scanInlineTable(String path) {
		advance();
		skipWhitespace(true);
		while (!atEnd() && peek() != '}') {
			scanKeyValuePair(path);
			skipSeparator();
		}
		advance();
	}

	private void skipSeparator() {
		skipWhitespace(true);
		if (!atEnd() && peek() == ',') {
			advance();
			skipWhitespace(true);
		}
	}

	private List<String> scanDottedKey() {
		List<String> names = new ArrayList<>();
		do {
			if (!names.isEmpty()) {
				advance();
			}
			skipWhitespace(false);
			names.add((peek() == '"' || peek() == '\'') ? scanString() : scanBareKey());
			skipWhitespace(false);
		}
		while (peek() == '.');
		return names;
	}

	private String scanBareKey() {
		int start = this.position;
		while (!atEnd() && " \t.=]\r\n".indexOf(peek()) < 0) {
			advance();
		}
		return this.text.substring(start, this.position);
	}

	private String scanString() {
		char quote = peek();
		String triple = String.valueOf(quote).repeat(3);
		if (this.text.startsWith(triple, this.position)) {
			skipMultiLineString(quote, triple);
			return "";
		}
		advance();
		int start = this.position;
		while (!atEnd() && peek() != quote) {
			skipStringCharacter(quote);
		}
		String content = this.text.substring(start, this.position);
		advance();
		return content;
	}

	private void skipMultiLineString(char quote, String triple) {
		skipCharacters(triple.length());
		while (!atEnd() && !this.text.startsWith(triple, this.position)) {
			skipStringCharacter(quote);
		}
		skipCharacters(triple.length());
		// The content of a multi-line string may end with one or two quotation marks.
		while (!atEnd() && peek() == quote) {
			advance();
		}
	}

	private void skipStringCharacter(char quote) {
		skipCharacters((quote == '"' && peek() == '\\') ? 2 : 1);
	}

	private void skipCharacters(int count) {
		for (int skipped = 0; skipped < count && !atEnd(); skipped++) {
			advance();
		}
	}

	private void skipScalar() {
		while (!atEnd() && ",]}#\r\n".indexOf(peek()) < 0) {
			advance();
		}
	}

	private void skipPast(char end) {
		while (!atEnd() && peek() != end) {
			advance();
		}
		advance();
	}

	// Skips spaces and tabs and, if multiLine is true, also line breaks and comments.
	private void skipWhitespace(boolean multiLine) {
		while (!atEnd()) {
			if (multiLine && peek() == '#') {
				while (!atEnd() && peek() != '\n') {
					advance();
				}
			}
			else if (peek() == ' ' || peek() == '\t' || (multiLine && (peek() == '\n' || peek() == '\r'))) {
				advance();
			}
			else {
				return;
			}
		}
	}

	private static String join(String path, String name) {
		return path.isEmpty() ? name : path + "." + name;
	}

	private Location currentLocation() {
		return new Location(this.line, this.position - this.lineStart + 1);
	}

	private boolean atEnd() {
		return this.position >= this.text.length();
	}

	private char peek() {
		return atEnd() ? '\0' : this.text.charAt(this.position);
	}

	private void advance() {
		if (!atEnd() && this.text.charAt(this.position++) == '\n') {
			this.line++;
			this.lineStart = this.position;
		}
	}

}

package org.redwingramp.records.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps the path of each field of a TOML text to its place. The TOML parser reports no
 * place for the fields of a valid text, since it hands out tokens of a finished tree. The
 * text must have been accepted by that parser; this class checks nothing. Not thread
 * safe; one scanner is used for one text.
 */
final class LocationScanner {

	private final String text;

	private final Map<String, Location> locations = new HashMap<>();

	private final Map<String, Integer> tablesInArray = new HashMap<>();

	private int position;

	private int line = 1;

	private int lineStart;

	LocationScanner(String text) {
		this.text = text;
	}

	Map<String, Location> scan() {
		String table = "";
		skipBlank(true);
		while (!atEnd()) {
			if (peek() == '[') {
				table = header();
			}
			else {
				assignment(table);
			}
			skipBlank(true);
		}
		return this.locations;
	}

	private String header() {
		Location place = here();
		advance();
		boolean array = peek() == '[';
		if (array) {
			advance();
		}
		List<String> names = keyPath();
		skipTo(']');
		if (array) {
			skipTo(']');
		}
		String path = resolve(names.subList(0, names.size() - 1));
		String full = join(path, names.get(names.size() - 1));
		if (array) {
			int index = this.tablesInArray.merge(full, 1, Integer::sum) - 1;
			this.locations.putIfAbsent(full, place);
			full = full + "[" + index + "]";
		}
		this.locations.putIfAbsent(full, place);
		return full;
	}

	private String resolve(List<String> names) {
		String path = "";
		for (String name : names) {
			path = join(path, name);
			Integer count = this.tablesInArray.get(path);
			path = (count != null) ? path + "[" + (count - 1) + "]" : path;
		}
		return path;
	}

	private void assignment(String table) {
		Location place = here();
		String path = table;
		for (String name : keyPath()) {
			path = join(path, name);
			this.locations.putIfAbsent(path, place);
		}
		skipTo('=');
		skipBlank(false);
		value(path);
	}

	private void value(String path) {
		switch (peek()) {
			case '"', '\'' -> string();
			case '[' -> list(path);
			case '{' -> inlineTable(path);
			default -> scalar();
		}
	}

	private void list(String path) {
		advance();
		skipBlank(true);
		for (int index = 0; !atEnd() && peek() != ']'; index++) {
			String item = path + "[" + index + "]";
			this.locations.putIfAbsent(item, here());
			value(item);
			skipSeparator();
		}
		advance();
	}

	private void inlineTable(String path) {
		advance();
		skipBlank(true);
		while (!atEnd() && peek() != '}') {
			assignment(path);
			skipSeparator();
		}
		advance();
	}

	private void skipSeparator() {
		skipBlank(true);
		if (!atEnd() && peek() == ',') {
			advance();
			skipBlank(true);
		}
	}

	private List<String> keyPath() {
		List<String> names = new ArrayList<>();
		do {
			if (!names.isEmpty()) {
				advance();
			}
			skipBlank(false);
			names.add((peek() == '"' || peek() == '\'') ? string() : bareKey());
			skipBlank(false);
		}
		while (peek() == '.');
		return names;
	}

	private String bareKey() {
		int start = this.position;
		while (!atEnd() && " \t.=]\r\n".indexOf(peek()) < 0) {
			advance();
		}
		return this.text.substring(start, this.position);
	}

	private String string() {
		char quote = peek();
		String triple = String.valueOf(quote).repeat(3);
		if (this.text.startsWith(triple, this.position)) {
			skipMultiLine(quote, triple);
			return "";
		}
		advance();
		int start = this.position;
		while (!atEnd() && peek() != quote) {
			skipCharacter(quote);
		}
		String content = this.text.substring(start, this.position);
		advance();
		return content;
	}

	private void skipMultiLine(char quote, String triple) {
		skipCharacters(triple.length());
		while (!atEnd() && !this.text.startsWith(triple, this.position)) {
			skipCharacter(quote);
		}
		skipCharacters(triple.length());
		// A multi-line string may end with one or two quotes of its own.
		while (!atEnd() && peek() == quote) {
			advance();
		}
	}

	private void skipCharacter(char quote) {
		skipCharacters((quote == '"' && peek() == '\\') ? 2 : 1);
	}

	private void skipCharacters(int count) {
		for (int skipped = 0; skipped < count && !atEnd(); skipped++) {
			advance();
		}
	}

	private void scalar() {
		while (!atEnd() && ",]}#\r\n".indexOf(peek()) < 0) {
			advance();
		}
	}

	private void skipTo(char end) {
		while (!atEnd() && peek() != end) {
			advance();
		}
		advance();
	}

	private void skipBlank(boolean lines) {
		while (!atEnd()) {
			if (lines && peek() == '#') {
				while (!atEnd() && peek() != '\n') {
					advance();
				}
			}
			else if (peek() == ' ' || peek() == '\t' || (lines && (peek() == '\n' || peek() == '\r'))) {
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

	private Location here() {
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

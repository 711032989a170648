package org.redwingramp.records.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Formats texts for messages and finds similar names. Stateless and thread safe.
 */
final class Texts {

	private static final int MAX_QUOTED_LENGTH = 60;

	/**
	 * Allows two typing errors in a name of six characters. Allowing more would suggest
	 * unrelated names.
	 */
	private static final int CHARACTERS_PER_TYPO = 3;

	private static final int MAX_PRINTABLE_LENGTH = 200;

	private static final Pattern CONTROL_CHARACTER = Pattern.compile("[\\p{Cntrl}\\p{Cf}\\u2028\\u2029]");

	private Texts() {
	}

	/**
	 * Quotes a text, shortens it and replaces its control characters, so that a finding
	 * can't garble a terminal or a log.
	 * @param text the text
	 * @return the text in quotation marks
	 */
	static String quote(String text) {
		return '"'
				+ printable((text.length() > MAX_QUOTED_LENGTH) ? text.substring(0, MAX_QUOTED_LENGTH) + "..." : text)
				+ '"';
	}

	/**
	 * Shortens a text and replaces its control characters by question marks.
	 * @param text the text
	 * @return the printable text
	 */
	static String printable(String text) {
		String shortened = (text.length() > MAX_PRINTABLE_LENGTH) ? text.substring(0, MAX_PRINTABLE_LENGTH) + "..."
				: text;
		return CONTROL_CHARACTER.matcher(shortened).replaceAll("?");
	}

	/**
	 * Finds the known name that an unknown name is probably a misspelling of.
	 * @param unknown the unknown name
	 * @param known the known names
	 * @return the most similar name, or empty if none is similar
	 */
	static Optional<String> mostSimilar(String unknown, Collection<String> known) {
		int maxDistance = Math.max(1, unknown.length() / CHARACTERS_PER_TYPO);
		return known.stream()
			.filter((name) -> Math.abs(name.length() - unknown.length()) <= maxDistance)
			.filter((name) -> editDistance(unknown, name) <= maxDistance)
			.min(Comparator.comparingInt((name) -> editDistance(unknown, name)));
	}

	private static int editDistance(String left, String right) {
		int[] previous = new int[right.length() + 1];
		for (int column = 0; column <= right.length(); column++) {
			previous[column] = column;
		}
		for (int row = 1; row <= left.length(); row++) {
			int[] current = new int[right.length() + 1];
			current[0] = row;
			for (int column = 1; column <= right.length(); column++) {
				int substitution = previous[column - 1] + ((left.charAt(row - 1) != right.charAt(column - 1)) ? 1 : 0);
				current[column] = Math.min(substitution, Math.min(previous[column], current[column - 1]) + 1);
			}
			previous = current;
		}
		return previous[right.length()];
	}

}

package org.redwingramp.records.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Formats found text for messages and finds similar names. Stateless and thread safe.
 */
final class Texts {

	private static final int MAX_QUOTED = 60;

	/** Allows two mistakes from six characters on; more would suggest unrelated names. */
	private static final int CHARACTERS_PER_MISTAKE = 3;

	private static final int MAX_SHOWN = 200;

	private static final Pattern CONTROL = Pattern.compile("[\\p{Cntrl}\\p{Cf}\\u2028\\u2029]");

	private Texts() {
	}

	/**
	 * Returns a text in quotes, shortened and without control characters, so that a
	 * finding can't garble a terminal or a log.
	 * @param text the text
	 * @return the quoted text
	 */
	static String quote(String text) {
		return '"' + printable((text.length() > MAX_QUOTED) ? text.substring(0, MAX_QUOTED) + "..." : text) + '"';
	}

	/**
	 * Returns a text without control characters and of bounded length.
	 * @param text the text
	 * @return the text that may be shown
	 */
	static String printable(String text) {
		String shown = (text.length() > MAX_SHOWN) ? text.substring(0, MAX_SHOWN) + "..." : text;
		return CONTROL.matcher(shown).replaceAll("?");
	}

	/**
	 * Finds the name that an unknown name was probably meant to be.
	 * @param unknown the unknown name
	 * @param known the known names
	 * @return the nearest name, or empty if none is similar
	 */
	static Optional<String> nearest(String unknown, Collection<String> known) {
		int limit = Math.max(1, unknown.length() / CHARACTERS_PER_MISTAKE);
		return known.stream()
			.filter((name) -> Math.abs(name.length() - unknown.length()) <= limit)
			.filter((name) -> distance(unknown, name) <= limit)
			.min(Comparator.comparingInt((name) -> distance(unknown, name)));
	}

	private static int distance(String left, String right) {
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

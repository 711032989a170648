package org.redwingramp.records.internal;

import java.util.Set;
import java.util.regex.Pattern;

/**
 * What a text field may contain. Immutable and thread safe.
 *
 * @param pattern the pattern that the whole text matches
 * @param reserved texts that are refused although they match
 * @param allowed describes what is allowed, for messages
 */
public record TextRule(Pattern pattern, Set<String> reserved, String allowed) {

	/** The names of records, targets, instances, regions and failure domains. */
	public static final TextRule NAME = of("[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?",
			"1 to 63 lower-case letters, digits, hyphens, dots and underscores that start and end with a letter or"
					+ " digit");

	/** The names of services; the reserved ones are paths of the daemon itself. */
	public static final TextRule SERVICE_NAME = new TextRule(NAME.pattern(), Set.of("v1", "metrics", "health", "ready"),
			NAME.allowed() + ", and not v1, metrics, health or ready");

	/** The keys of keyed services. */
	public static final TextRule KEY = of("[^\\p{Cntrl}]{1,256}", "1 to 256 characters without control characters");

	/** The prefixes of request paths. */
	public static final TextRule PATH = of("(?!.*//)(?!.*/\\.{1,2}(/|$))/[A-Za-z0-9._~!$&'()*+,;=:@%/-]{0,255}",
			"a path of at most 256 characters that starts with a slash, without query, empty segments, . or ..");

	/** The names of request headers that carry a key. */
	public static final TextRule HEADER = of(
			"(?i)(?!redwingramp-|host$|connection$|content-length$|transfer-encoding$|authorization$)"
					+ "[a-z][a-z0-9-]{0,63}",
			"1 to 64 letters, digits and hyphens that start with a letter, and not Redwingramp-*, Host, Connection,"
					+ " Content-Length, Transfer-Encoding or Authorization");

	/** Paths of the file system. */
	public static final TextRule FILE = of("[^\\p{Cntrl}]{1,1024}", "a path of 1 to 1024 characters");

	/**
	 * Creates a rule without reserved texts.
	 * @param pattern the regular expression that the whole text matches
	 * @param allowed describes what is allowed
	 * @return the rule
	 */
	public static TextRule of(String pattern, String allowed) {
		return new TextRule(Pattern.compile(pattern), Set.of(), allowed);
	}

	/**
	 * Creates a rule that allows a few words.
	 * @param words the words
	 * @return the rule
	 */
	public static TextRule oneOf(String... words) {
		return of(String.join("|", words), "one of " + String.join(", ", words));
	}

	boolean allows(String text) {
		return this.pattern.matcher(text).matches() && !this.reserved.contains(text);
	}

}

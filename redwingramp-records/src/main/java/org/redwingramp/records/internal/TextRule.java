package org.redwingramp.records.internal;

import java.util.Set;
import java.util.regex.Pattern;

/**
 * The rule for the content of a text field. Immutable and thread safe.
 *
 * @param pattern the pattern that the whole text must match
 * @param reserved texts that are not allowed although they match the pattern
 * @param description describes the allowed texts, for messages
 */
public record TextRule(Pattern pattern, Set<String> reserved, String description) {

	/** Names of records, targets, instances, regions and failure domains. */
	public static final TextRule NAME = of("[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?",
			"1 to 63 lower-case letters, digits, hyphens, dots and underscores that start and end with a letter or"
					+ " digit");

	/** Names of services. The reserved names are paths that the daemon itself serves. */
	public static final TextRule SERVICE_NAME = new TextRule(NAME.pattern(), Set.of("v1", "metrics", "health", "ready"),
			NAME.description() + ", and not v1, metrics, health or ready");

	/** Keys of keyed services. */
	public static final TextRule KEY = of("[^\\p{Cntrl}]{1,256}", "1 to 256 characters without control characters");

	/** Prefixes of request paths. */
	public static final TextRule PATH = of("(?!.*//)(?!.*/\\.{1,2}(/|$))/[A-Za-z0-9._~!$&'()*+,;=:@%/-]{0,255}",
			"a path of at most 256 characters that starts with a slash, without query, empty segments, . or ..");

	/** Names of request headers that contain a key. */
	public static final TextRule HEADER = of(
			"(?i)(?!redwingramp-|host$|connection$|content-length$|transfer-encoding$|authorization$)"
					+ "[a-z][a-z0-9-]{0,63}",
			"1 to 64 letters, digits and hyphens that start with a letter, and not Redwingramp-*, Host, Connection,"
					+ " Content-Length, Transfer-Encoding or Authorization");

	/** Paths in the file system. */
	public static final TextRule FILE = of("[^\\p{Cntrl}]{1,1024}", "a path of 1 to 1024 characters");

	/**
	 * Creates a rule without reserved texts.
	 * @param pattern the regular expression that the whole text must match
	 * @param description describes the allowed texts
	 * @return the rule
	 */
	public static TextRule of(String pattern, String description) {
		return new TextRule(Pattern.compile(pattern), Set.of(), description);
	}

	/**
	 * Creates a rule that allows only the given words.
	 * @param words the allowed words
	 * @return the rule
	 */
	public static TextRule oneOf(String... words) {
		return of(String.join("|", words), "one of " + String.join(", ", words));
	}

	boolean allows(String text) {
		return this.pattern.matcher(text).matches() && !this.reserved.contains(text);
	}

}

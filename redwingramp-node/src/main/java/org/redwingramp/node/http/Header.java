package org.redwingramp.node.http;

import java.util.List;
import java.util.Optional;

/**
 * A header field. Immutable and thread safe.
 *
 * @param name the name as it was sent
 * @param value the value
 */
public record Header(String name, String value) {

	/**
	 * Finds the first field of a name.
	 * @param headers the fields
	 * @param name the name in any case
	 * @return its value, or empty
	 */
	public static Optional<String> find(List<Header> headers, String name) {
		for (Header header : headers) {
			if (header.name().equalsIgnoreCase(name)) {
				return Optional.of(header.value());
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns whether a list-valued field contains a token.
	 * @param headers the fields
	 * @param name the field's name in any case
	 * @param token the token in lower case
	 * @return whether it is listed
	 */
	public static boolean lists(List<Header> headers, String name, String token) {
		return headers.stream()
			.filter((header) -> header.name().equalsIgnoreCase(name))
			.anyMatch((header) -> header.value().toLowerCase(java.util.Locale.ROOT).contains(token));
	}

}

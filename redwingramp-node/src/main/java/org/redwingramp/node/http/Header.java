package org.redwingramp.node.http;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * An HTTP header field. Immutable and thread safe.
 *
 * @param name the name, in its original case
 * @param value the value
 */
public record Header(String name, String value) {

	/**
	 * Finds the value of the first field with the given name.
	 * @param headers the fields
	 * @param name the name, in any case
	 * @return the value, or empty if there is no such field
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
	 * Returns whether a field with a comma-separated list of tokens contains a token, in
	 * any case.
	 * @param headers the fields
	 * @param name the name of the field, in any case
	 * @param token the token, in any case
	 * @return whether a field of that name contains the token
	 */
	public static boolean lists(List<Header> headers, String name, String token) {
		return headers.stream()
			.filter((header) -> header.name().equalsIgnoreCase(name))
			.flatMap((header) -> Stream.of(header.value().split(",")))
			.anyMatch((element) -> element.trim().equalsIgnoreCase(token));
	}

}

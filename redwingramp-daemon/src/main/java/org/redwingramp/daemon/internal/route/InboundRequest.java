package org.redwingramp.daemon.internal.route;

import java.util.List;
import java.util.Optional;

import org.redwingramp.daemon.internal.http.HeaderField;

/**
 * A caller's request as it arrived, body included. Immutable by convention. Thread safe.
 *
 * @param method the HTTP method in upper case
 * @param path the path without query
 * @param query the query with its question mark, empty for none
 * @param headers all headers
 * @param passedOn the headers that are passed on
 * @param body the body
 * @param arrivedNanos the monotonic time in nanoseconds when it arrived
 */
public record InboundRequest(String method, String path, String query, List<HeaderField> headers,
		List<HeaderField> passedOn, byte[] body, long arrivedNanos) {

	public InboundRequest {
		headers = List.copyOf(headers);
		passedOn = List.copyOf(passedOn);
	}

	/**
	 * Returns the value of a header.
	 * @param name the name, in any case
	 * @return the first value
	 */
	public Optional<String> header(String name) {
		return this.headers.stream()
			.filter((field) -> field.name().equalsIgnoreCase(name))
			.map(HeaderField::value)
			.findFirst();
	}

}

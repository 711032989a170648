package org.redwingramp.daemon.internal.route;

import java.util.List;
import java.util.Optional;

import org.redwingramp.daemon.internal.http.HeaderField;

/**
 * A caller's request as received, with its complete body. Immutable by convention: the
 * body array must not be modified. Thread safe.
 *
 * @param method the HTTP method in upper case
 * @param path the path without query
 * @param query the query with its question mark, empty for none
 * @param headers all header fields as received
 * @param forwardedHeaders the header fields that are forwarded to the target
 * @param body the body
 * @param arrivedNanos the monotonic time in nanoseconds at which the request arrived
 */
public record InboundRequest(String method, String path, String query, List<HeaderField> headers,
		List<HeaderField> forwardedHeaders, byte[] body, long arrivedNanos) {

	public InboundRequest {
		headers = List.copyOf(headers);
		forwardedHeaders = List.copyOf(forwardedHeaders);
	}

	/**
	 * Returns the first value of a header.
	 * @param name the header name, compared without regard to case
	 * @return the value, empty if the header is absent
	 */
	public Optional<String> header(String name) {
		return this.headers.stream()
			.filter((field) -> field.name().equalsIgnoreCase(name))
			.map(HeaderField::value)
			.findFirst();
	}

}

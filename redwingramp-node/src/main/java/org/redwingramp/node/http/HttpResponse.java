package org.redwingramp.node.http;

import java.util.List;

/**
 * A whole response. Immutable by convention and thread safe.
 *
 * @param status the status code
 * @param headers the header fields in order
 * @param body the body, empty if there is none
 */
public record HttpResponse(int status, List<Header> headers, byte[] body) {

	private static final byte[] NO_BODY = new byte[0];

	/**
	 * Creates a response without a body.
	 * @param status the status code
	 * @param headers the header fields
	 * @return the response
	 */
	public static HttpResponse empty(int status, Header... headers) {
		return new HttpResponse(status, List.of(headers), NO_BODY);
	}

}

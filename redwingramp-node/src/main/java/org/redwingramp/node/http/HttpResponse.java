package org.redwingramp.node.http;

import java.util.List;

/**
 * A complete HTTP response. Thread safe, as long as the body array isn't modified.
 *
 * @param status the status code
 * @param headers the header fields in the order of the message
 * @param body the body, an empty array if there is none
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

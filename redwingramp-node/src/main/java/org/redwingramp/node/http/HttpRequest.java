package org.redwingramp.node.http;

import java.util.List;

/**
 * A complete HTTP request. Thread safe, as long as the body array isn't modified.
 *
 * @param method the request method
 * @param target the request target as it appears in the request line
 * @param headers the header fields in the order of the message
 * @param body the body, an empty array if there is none
 */
public record HttpRequest(String method, String target, List<Header> headers, byte[] body) {

	/**
	 * Returns the request target without its query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}

package org.redwingramp.node.http;

import java.util.List;

/**
 * A whole request. Immutable by convention and thread safe.
 *
 * @param method the method
 * @param target the request target as it was sent
 * @param headers the header fields in order
 * @param body the body, empty if there is none
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

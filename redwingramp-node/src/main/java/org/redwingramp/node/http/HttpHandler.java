package org.redwingramp.node.http;

/**
 * Handles requests. Called in the loop's thread; it must not block.
 */
public interface HttpHandler {

	/**
	 * Handles a request. The response may be sent later.
	 * @param exchange the request with the way to respond
	 */
	void handle(HttpExchange exchange);

}

package org.redwingramp.node.http;

/**
 * Handles requests to an {@link HttpServer}. Called in the event loop's thread, so it
 * must not block.
 */
public interface HttpHandler {

	/**
	 * Handles a request. The response may be sent after this method returns.
	 * @param exchange the request, and the means to respond to it
	 */
	void handle(HttpExchange exchange);

}

package org.redwingramp.node.http;

/**
 * A received request together with the means to respond to it. Not thread safe; it is
 * confined to the event loop's thread.
 */
public interface HttpExchange {

	/**
	 * Returns the request.
	 * @return the request
	 */
	HttpRequest request();

	/**
	 * Returns when the request was received completely.
	 * @return the monotonic time in nanoseconds
	 */
	long receivedNanos();

	/**
	 * Sends the response. Only the first call has an effect.
	 * @param response the response
	 */
	void respond(HttpResponse response);

	/**
	 * Sets the action that runs if the caller closes the connection before the response
	 * is sent.
	 * @param action the action
	 */
	void onAbandoned(Runnable action);

}

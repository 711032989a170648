package org.redwingramp.node.http;

/**
 * A request that waits for its response. Not thread safe; it belongs to the loop's
 * thread.
 */
public interface HttpExchange {

	/**
	 * Returns the request.
	 * @return the request
	 */
	HttpRequest request();

	/**
	 * Returns when the request was read in full.
	 * @return the monotonic time in nanoseconds
	 */
	long receivedNanos();

	/**
	 * Sends the response. Only the first call has an effect.
	 * @param response the response
	 */
	void respond(HttpResponse response);

	/**
	 * Sets what happens if the caller closes the connection before the response.
	 * @param action the action
	 */
	void onAbandoned(Runnable action);

}

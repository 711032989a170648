package org.redwingramp.node.http;

/**
 * Receives the outcome of a call. Exactly one of {@link #answered} and {@link #failed} is
 * called, once, unless the call is cancelled.
 */
public interface ClientListener {

	/**
	 * Decides whether a response belongs to the call. A response that doesn't is
	 * discarded, and the call waits for the next one on the connection.
	 * @param response the response
	 * @return whether it bears the identifier of the call
	 */
	ResponseMatch match(HttpResponse response);

	/**
	 * Called when the complete response was received.
	 * @param response the response
	 */
	void answered(HttpResponse response);

	/**
	 * Called when the call failed without a complete response.
	 * @param failure why it failed
	 */
	void failed(CallFailure failure);

}

package org.redwingramp.node.http;

/**
 * Hears the outcome of a call. Exactly one method is called, once, unless the call is
 * cancelled.
 */
public interface ClientListener {

	/**
	 * Decides whether a response belongs to the call. A response that doesn't is dropped,
	 * and the next one on the connection is awaited.
	 * @param response the response
	 * @return whether it belongs to the call
	 */
	boolean accepts(HttpResponse response);

	/**
	 * The whole response arrived.
	 * @param response the response
	 */
	void answered(HttpResponse response);

	/**
	 * No whole response will arrive.
	 * @param failure what happened
	 */
	void failed(CallFailure failure);

}

package org.redwingramp.node.api;

import java.util.List;

import org.redwingramp.core.traffic.TrafficConfig;
import org.redwingramp.node.http.Header;
import org.redwingramp.node.http.HttpRequest;
import org.redwingramp.node.http.HttpResponse;

/**
 * Translates between a platform's messages and the product's types. Implementations
 * decide nothing and are thread safe.
 */
public interface PlatformDialect {

	/**
	 * Reads and writes a sample of each message, so that the first real ones aren't
	 * delayed by class loading.
	 */
	void warmUp();

	/**
	 * Reads what a caller says about its request.
	 * @param request the request
	 * @return the fields
	 */
	RequestFields requestFields(HttpRequest request);

	/**
	 * Makes the request to a target.
	 * @param request the caller's request
	 * @param target the name of the target that may run it
	 * @param deadlineMillis the time left
	 * @return the request to send
	 */
	HttpRequest targetRequest(HttpRequest request, String target, long deadlineMillis);

	/**
	 * Reads what a target says with its response.
	 * @param headers the header fields of the response
	 * @return the fields
	 */
	ResponseFields responseFields(List<Header> headers);

	/**
	 * Makes the response to a caller from a target's response.
	 * @param response the target's response
	 * @return the response to send
	 */
	HttpResponse callerResponse(HttpResponse response);

	/**
	 * Makes a response of the router's own.
	 * @param status the status code
	 * @param requestId the request's identifier, empty if it has none
	 * @param retryAfterMillis when the caller may come back, 0 to leave it out
	 * @return the response
	 */
	HttpResponse ownResponse(int status, String requestId, long retryAfterMillis);

	/**
	 * Makes a call about keys.
	 * @param call the call
	 * @return the request to send
	 */
	HttpRequest grantRequest(GrantCall call);

	/**
	 * Reads the answer to a call about keys.
	 * @param call the call
	 * @param response the response
	 * @return the answer
	 */
	GrantReply grantReply(GrantCall call, HttpResponse response);

	/**
	 * Reads a call to the control replicas.
	 * @param request the request
	 * @return the call
	 */
	ControlRequest controlRequest(HttpRequest request);

	/**
	 * Makes the response to a call to the control replicas.
	 * @param call the call
	 * @param answer the answer
	 * @param request the request, for a redirect
	 * @return the response
	 */
	HttpResponse controlResponse(ControlRequest call, ControlAnswer answer, HttpRequest request);

	/**
	 * Reads a configuration.
	 * @param document the configuration as an operator sent it
	 * @return the configuration
	 * @throws InvalidDocumentException if it can't be read in full
	 */
	TrafficConfig config(byte[] document) throws InvalidDocumentException;

	/**
	 * Returns whether a request asks if the instance is ready.
	 * @param request the request
	 * @return whether it does
	 */
	boolean asksReadiness(HttpRequest request);

}

package org.redwingramp.node.api;

import java.util.List;

import org.redwingramp.core.traffic.TrafficConfig;
import org.redwingramp.node.http.Header;
import org.redwingramp.node.http.HttpRequest;
import org.redwingramp.node.http.HttpResponse;

/**
 * Translates between the HTTP messages and documents of a platform and the router's own
 * types. Implementations only translate and make no decisions. They are thread safe.
 */
public interface PlatformDialect {

	/**
	 * Reads and writes a sample of each message, so that class loading doesn't delay the
	 * first real messages.
	 */
	void warmUp();

	/**
	 * Extracts the fields that the router needs from a caller's request.
	 * @param request the request
	 * @return the fields
	 */
	RequestFields requestFields(HttpRequest request);

	/**
	 * Creates the request to a target.
	 * @param request the caller's request
	 * @param target the name of the target that the request is sent to
	 * @param deadlineMillis the time left until the caller's deadline
	 * @return the request to send
	 */
	HttpRequest targetRequest(HttpRequest request, String target, long deadlineMillis);

	/**
	 * Extracts the fields that the router needs from a target's response.
	 * @param headers the header fields of the response
	 * @return the fields
	 */
	ResponseFields responseFields(List<Header> headers);

	/**
	 * Creates the response to a caller from a target's response.
	 * @param response the target's response
	 * @return the response to send
	 */
	HttpResponse callerResponse(HttpResponse response);

	/**
	 * Creates a response that originates from the router, not from a target.
	 * @param status the status code
	 * @param requestId the request's identifier, empty if it has none
	 * @param retryAfterMillis the delay after which the caller may retry, 0 to omit it
	 * @return the response
	 */
	HttpResponse routerResponse(int status, String requestId, long retryAfterMillis);

	/**
	 * Creates the HTTP request of a call that grants or releases keys.
	 * @param call the call
	 * @return the request to send
	 */
	HttpRequest grantRequest(GrantCall call);

	/**
	 * Reads the reply to a call that grants or releases keys.
	 * @param call the call
	 * @param response the target's response
	 * @return the reply
	 */
	GrantReply grantReply(GrantCall call, HttpResponse response);

	/**
	 * Reads a request to the control replicas.
	 * @param request the HTTP request
	 * @return the control request
	 */
	ControlRequest controlRequest(HttpRequest request);

	/**
	 * Creates the response to a request to the control replicas.
	 * @param call the control request
	 * @param answer the reply of the control replica
	 * @param request the HTTP request, from which a redirect is built
	 * @return the response
	 */
	HttpResponse controlResponse(ControlRequest call, ControlAnswer answer, HttpRequest request);

	/**
	 * Parses a configuration.
	 * @param document the configuration as an operator sent it
	 * @return the configuration
	 * @throws InvalidDocumentException if it can't be parsed completely
	 */
	TrafficConfig config(byte[] document) throws InvalidDocumentException;

	/**
	 * Returns whether a request is a readiness probe.
	 * @param request the request
	 * @return whether it is a readiness probe
	 */
	boolean isReadinessRequest(HttpRequest request);

}

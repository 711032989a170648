package org.redwingramp.core.model;

import java.util.List;

/**
 * Classifies the requests of a service by method and path prefix. Immutable and thread
 * safe.
 *
 * @param methods the HTTP methods, in upper case, to which the rule applies
 * @param pathPrefix the prefix of the path after the service's name, starting with a
 * slash
 * @param requestClass the class of the matching requests
 * @param deadlineMillis the deadline in milliseconds of a matching request that specifies
 * none, or 0 for the default of the service
 */
public record RouteRule(List<String> methods, String pathPrefix, RequestClass requestClass, long deadlineMillis) {

	public RouteRule {
		methods = List.copyOf(methods);
	}

	/**
	 * Returns whether the rule applies to a request.
	 * @param method the HTTP method in upper case
	 * @param path the path after the service's name
	 * @return whether method and path match the rule
	 */
	public boolean matches(String method, String path) {
		return this.methods.contains(method) && path.startsWith(this.pathPrefix);
	}

}

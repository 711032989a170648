package org.redwingramp.core.traffic;

import java.util.List;

/**
 * Defines how requests with a given host and path prefix are routed. Immutable and thread
 * safe.
 *
 * @param name the route's name
 * @param host the host, in lower case and without a port
 * @param pathPrefix the path prefix, starting with a slash
 * @param kind whether requests may run more than once
 * @param timeoutMillis the maximum time a request may wait for its response
 * @param targetLatencyMillis the response time up to which a response has its full value
 * for the caller
 * @param priority the priority, 0 is the highest
 * @param maxAttempts the maximum number of targets to which one request may be sent
 * @param services the services over which requests are split, with their weights
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, long timeoutMillis,
		long targetLatencyMillis, int priority, int maxAttempts, List<WeightedService> services) {

	public Route {
		services = List.copyOf(services);
	}

	/**
	 * Returns what identifies the route in its configuration. Its name doesn't: several
	 * routes may have the same.
	 * @return the host and the path prefix
	 */
	public String location() {
		return this.host + this.pathPrefix;
	}

}

package org.redwingramp.core.traffic;

import java.util.List;

/**
 * Where the requests of a host and path prefix go. Immutable and thread safe.
 *
 * @param name the route's name
 * @param host the host, in lower case and without a port
 * @param pathPrefix the prefix of the path, beginning with a slash
 * @param kind whether requests may run more than once
 * @param timeoutMillis the longest time a request may wait for its answer
 * @param targetLatencyMillis the time within which an answer has its full value
 * @param priority the rank, 0 is the highest
 * @param maxAttempts the highest number of targets that one request may be sent to
 * @param services the services with their weights
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, long timeoutMillis,
		long targetLatencyMillis, int priority, int maxAttempts, List<WeightedService> services) {

	public Route {
		services = List.copyOf(services);
	}

}

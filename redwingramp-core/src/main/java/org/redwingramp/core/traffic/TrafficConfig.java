package org.redwingramp.core.traffic;

import java.util.List;
import java.util.Optional;

/**
 * A complete version of the traffic configuration. Immutable and thread safe.
 *
 * @param version the operator's version number
 * @param routes the routes
 * @param services the services
 * @param limits the limits for callers
 */
public record TrafficConfig(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {

	public TrafficConfig {
		routes = List.copyOf(routes);
		services = List.copyOf(services);
	}

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return the service, or empty
	 */
	public Optional<ServiceSpec> service(String name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

}

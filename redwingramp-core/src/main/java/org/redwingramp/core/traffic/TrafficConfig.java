package org.redwingramp.core.traffic;

import java.util.List;
import java.util.Optional;

/**
 * A complete traffic configuration of one version. Immutable and thread safe.
 *
 * @param version the version number assigned by the operator
 * @param routes the routes
 * @param services the services
 * @param limits the limits on requests from callers
 */
public record TrafficConfig(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {

	public TrafficConfig {
		routes = List.copyOf(routes);
		services = List.copyOf(services);
	}

	/**
	 * Finds a service by its name.
	 * @param name the service's name
	 * @return the service, or empty if there is none with this name
	 */
	public Optional<ServiceSpec> service(String name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

}

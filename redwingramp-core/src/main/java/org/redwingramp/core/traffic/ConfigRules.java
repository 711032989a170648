package org.redwingramp.core.traffic;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Checks a configuration on its own, without regard to the version in force. Stateless
 * and thread safe.
 */
public final class ConfigRules {

	/** The longest timeout of a route that is accepted, in milliseconds. */
	public static final long MAX_TIMEOUT_MILLIS = 600_000;

	/**
	 * How far a target latency may lie above the timeout of its route, in milliseconds.
	 */
	public static final long MAX_LATENCY_ABOVE_TIMEOUT_MILLIS = 60_000;

	private ConfigRules() {
	}

	/**
	 * Checks a configuration.
	 * @param config the configuration
	 * @return all findings with their place; empty if the configuration is valid
	 */
	public static List<String> check(TrafficConfig config) {
		List<String> findings = new ArrayList<>();
		Set<String> services = config.services().stream().map(ServiceSpec::name).collect(Collectors.toSet());
		if (services.size() < config.services().size()) {
			findings.add("services: two services share a name");
		}
		Set<String> places = new HashSet<>();
		config.routes().forEach((route) -> check(route, services, places, findings));
		return findings;
	}

	private static void check(Route route, Set<String> services, Set<String> places, List<String> findings) {
		String place = "route " + route.name() + ": ";
		if (!places.add(route.host() + " " + route.pathPrefix())) {
			findings.add(place + "host and path prefix belong to another route too");
		}
		if (!route.pathPrefix().startsWith("/")) {
			findings.add(place + "the path prefix doesn't begin with a slash");
		}
		if (route.timeoutMillis() <= 0 || route.timeoutMillis() > MAX_TIMEOUT_MILLIS) {
			findings.add(place + "the timeout of " + route.timeoutMillis() + " ms isn't between 1 and "
					+ MAX_TIMEOUT_MILLIS + " ms");
		}
		if (route.targetLatencyMillis() - route.timeoutMillis() >= MAX_LATENCY_ABOVE_TIMEOUT_MILLIS) {
			findings.add(place + "the target latency is a minute or more above the timeout");
		}
		if (route.services().isEmpty() || route.services().stream().mapToDouble(WeightedService::weight).sum() <= 0) {
			findings.add(place + "no service has a weight");
		}
		route.services()
			.stream()
			.filter((part) -> !services.contains(part.service()) || part.weight() < 0)
			.forEach((part) -> findings
				.add(place + "the service " + part.service() + " is unknown or has a negative weight"));
	}

}

package org.redwingramp.core.traffic;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Validates a traffic configuration by itself, without comparing it with the version in
 * force. Stateless and thread safe.
 */
public final class ConfigValidator {

	/** Maximum timeout of a route, in milliseconds. */
	public static final long MAX_TIMEOUT_MILLIS = 600_000;

	/**
	 * Exclusive limit, in milliseconds, by which the target latency of a route may exceed
	 * the timeout of the route.
	 */
	public static final long MAX_LATENCY_ABOVE_TIMEOUT_MILLIS = 60_000;

	private ConfigValidator() {
	}

	/**
	 * Validates a configuration.
	 * @param config the configuration
	 * @return all findings, each with the route or section that it refers to; empty if
	 * the configuration is valid
	 */
	public static List<String> check(TrafficConfig config) {
		List<String> findings = new ArrayList<>();
		Set<String> services = config.services().stream().map(ServiceSpec::name).collect(Collectors.toSet());
		if (services.size() < config.services().size()) {
			findings.add("services: the names of services must be unique");
		}
		Set<String> hostsAndPrefixes = new HashSet<>();
		config.routes().forEach((route) -> check(route, services, hostsAndPrefixes, findings));
		return findings;
	}

	private static void check(Route route, Set<String> services, Set<String> hostsAndPrefixes, List<String> findings) {
		String location = "route " + route.name() + ": ";
		if (!hostsAndPrefixes.add(route.host() + " " + route.pathPrefix())) {
			findings.add(location + "another route has the same host and path prefix");
		}
		if (!route.pathPrefix().startsWith("/")) {
			findings.add(location + "the path prefix must start with a slash");
		}
		if (route.timeoutMillis() <= 0 || route.timeoutMillis() > MAX_TIMEOUT_MILLIS) {
			findings.add(location + "the timeout must be between 1 and " + MAX_TIMEOUT_MILLIS + " ms (was "
					+ route.timeoutMillis() + " ms)");
		}
		if (route.targetLatencyMillis() - route.timeoutMillis() >= MAX_LATENCY_ABOVE_TIMEOUT_MILLIS) {
			findings.add(location + "the target latency must be less than " + MAX_LATENCY_ABOVE_TIMEOUT_MILLIS
					+ " ms above the timeout of " + route.timeoutMillis() + " ms (was " + route.targetLatencyMillis()
					+ " ms)");
		}
		if (route.services().isEmpty() || route.services().stream().mapToDouble(WeightedService::weight).sum() <= 0) {
			findings.add(location + "the sum of the weights of the services must be greater than 0");
		}
		route.services()
			.stream()
			.filter((weighted) -> !services.contains(weighted.service()) || weighted.weight() < 0)
			.forEach((weighted) -> findings.add(location + "the service " + weighted.service()
					+ " is not defined or has a negative weight (was " + weighted.weight() + ")"));
	}

}

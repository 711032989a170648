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

	/** Maximum sum of the weights of a route, up to which shares are exact. */
	private static final double MAX_WEIGHTS = 1e12;

	/** Maximum length of other periods, in milliseconds. */
	private static final long MAX_DURATION_MILLIS = 30L * 24 * 3600 * 1000;

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
		config.services().forEach((service) -> check(service, findings));
		check(config.limits(), findings);
		return findings;
	}

	private static void check(ServiceSpec service, List<String> findings) {
		String location = "service " + service.name() + ": ";
		if (!isDuration(service.coldMillis()) || !isDuration(service.warmupMillis())) {
			findings.add(location + "the cold and warm-up periods must be between 0 and " + MAX_DURATION_MILLIS
					+ " ms (were " + service.coldMillis() + " and " + service.warmupMillis() + " ms)");
		}
		if (service.coldPerSecond() < 0) {
			findings
				.add(location + "the rate of a cold target must not be negative (was " + service.coldPerSecond() + ")");
		}
	}

	// Limits under which no request would be accepted are invalid.
	private static void check(CallerLimits limits, List<String> findings) {
		if (limits.maxHeaderBytes() <= 0 || limits.maxBodyBytes() < 0) {
			findings.add("limits: the maximum size of a head must be positive and that of a body not negative (were "
					+ limits.maxHeaderBytes() + " and " + limits.maxBodyBytes() + " bytes)");
		}
		if (limits.headerTimeoutMillis() == 0 || !isDuration(limits.headerTimeoutMillis())
				|| limits.idleTimeoutMillis() == 0 || !isDuration(limits.idleTimeoutMillis())) {
			findings.add("limits: the timeouts must be between 1 and " + MAX_DURATION_MILLIS + " ms (were "
					+ limits.headerTimeoutMillis() + " and " + limits.idleTimeoutMillis() + " ms)");
		}
	}

	private static boolean isDuration(long millis) {
		return millis >= 0 && millis <= MAX_DURATION_MILLIS;
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
		double weights = route.services().stream().mapToDouble(WeightedService::weight).sum();
		if (weights <= 0 || weights > MAX_WEIGHTS) {
			findings.add(location + "the sum of the weights of the services must be greater than 0 and at most "
					+ MAX_WEIGHTS + " (was " + weights + ")");
		}
		route.services()
			.stream()
			.filter((weighted) -> !services.contains(weighted.service()) || weighted.weight() < 0)
			.forEach((weighted) -> findings.add(location + "the service " + weighted.service()
					+ " is not defined or has a negative weight (was " + weighted.weight() + ")"));
	}

}

package org.redwingramp.core.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of its host, the one with the longest
 * matching path prefix. Immutable and thread safe.
 */
public final class RouteTable {

	private final Map<String, List<Route>> byHost = new HashMap<>();

	/**
	 * Creates the table of a configuration.
	 * @param config the configuration
	 */
	public RouteTable(TrafficConfig config) {
		config.routes()
			.forEach((route) -> this.byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route));
		Comparator<Route> longestFirst = Comparator.comparingInt((route) -> -route.pathPrefix().length());
		this.byHost.values().forEach((routes) -> routes.sort(longestFirst));
	}

	/**
	 * Finds the route of a request.
	 * @param host the host as sent by the caller, with or without a port
	 * @param path the request path
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> find(String host, String path) {
		return this.byHost.getOrDefault(withoutPort(host), List.of())
			.stream()
			.filter((route) -> path.startsWith(route.pathPrefix()))
			.findFirst();
	}

	private static String withoutPort(String host) {
		int colon = host.indexOf(':');
		return ((colon < 0) ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
	}

}

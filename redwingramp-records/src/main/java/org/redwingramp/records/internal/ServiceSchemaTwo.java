package org.redwingramp.records.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.RouteRule;

/**
 * Reads service records of schema 2: the tables {@code [service]}, {@code [service.key]},
 * {@code [limits]} and {@code [retention]}, and {@code [[route]]} tables of which the
 * first matching one applies. Stateless and thread safe.
 */
final class ServiceSchemaTwo {

	static final String METHODS = "GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS";

	private static final int METHOD_COUNT = METHODS.split("\\|").length;

	private static final TextRule METHOD = TextRule.oneOf(METHODS.split("\\|"));

	private static final TextRule CLASS = TextRule.oneOf("idempotent", "at-most-once", "deferrable");

	private ServiceSchemaTwo() {
	}

	static RecordBody.Service read(TableReader root, String name) {
		TableReader table = root.table("service");
		KeySource keySource = readKeySource(table.optionalTable("key"));
		int slices = ServiceFields.slices(table, keySource.keyed() || table.has("key"));
		boolean checksFences = table.flag("checks_fences");
		table.finish();
		ServiceFields.Limits limits = limits(root.table("limits"));
		TableReader retentionTable = root.tableOrDefaults("retention");
		long retentionSeconds = ServiceFields.retentionSeconds(retentionTable, "request_identity_s",
				limits.maxDeadlineMillis());
		retentionTable.finish();
		List<RouteRule> routes = routes(root, limits.maxDeadlineMillis());
		return new RecordBody.Service(name, keySource, slices, limits.slots(), limits.connections(),
				limits.defaultDeadlineMillis(), limits.maxDeadlineMillis(), retentionSeconds, limits.queueLimit(),
				checksFences, routes);
	}

	private static KeySource readKeySource(Optional<TableReader> keyTable) {
		return keyTable.map((table) -> {
			KeySource keySource = ServiceFields.keySource(table, "header", "path_segment");
			if (!table.has("header") && !table.has("path_segment")) {
				table.require("header",
						"header or path_segment; omit service.key for a service that is not partitioned by key");
			}
			table.finish();
			return keySource;
		}).orElse(KeySource.NONE);
	}

	private static ServiceFields.Limits limits(TableReader table) {
		ServiceFields.Limits limits = ServiceFields.limits(table);
		table.finish();
		return limits;
	}

	private static List<RouteRule> routes(TableReader root, long maxDeadlineMillis) {
		List<RouteRule> routes = new ArrayList<>();
		for (TableReader table : root.tables("route", 0, ServiceFields.MAX_ROUTES)) {
			RouteRule route = route(table, maxDeadlineMillis);
			if (table.valid("methods", "path")) {
				checkNotShadowed(table, route, routes);
			}
			routes.add(route);
		}
		return routes;
	}

	private static RouteRule route(TableReader table, long maxDeadlineMillis) {
		List<String> methods = table.distinctTexts("methods", METHOD, 1, METHOD_COUNT);
		String path = table.text("path", TextRule.PATH);
		RequestClass requestClass = requestClass(table.text("class", CLASS));
		long deadline = table.optionalNumber("deadline_ms", 1, ServiceFields.MAX_DEADLINE_MILLIS).orElse(0);
		if (table.valid("deadline_ms") && deadline > maxDeadlineMillis) {
			table.addFinding("deadline_ms",
					"found " + deadline + "; allowed is at most limits.max_deadline_ms, which is " + maxDeadlineMillis);
		}
		table.finish();
		return new RouteRule(methods, path, requestClass, deadline);
	}

	private static RequestClass requestClass(String name) {
		return switch (name) {
			case "idempotent" -> RequestClass.IDEMPOTENT;
			case "deferrable" -> RequestClass.DEFERRABLE;
			default -> RequestClass.AT_MOST_ONCE;
		};
	}

	/**
	 * Adds a finding if an earlier route shadows a route for at least one method.
	 * Otherwise a payment route after a broad idempotent route would be retried.
	 * @param table the table of the route
	 * @param route the route
	 * @param earlierRoutes the routes that precede it
	 */
	private static void checkNotShadowed(TableReader table, RouteRule route, List<RouteRule> earlierRoutes) {
		for (int index = 0; index < earlierRoutes.size(); index++) {
			RouteRule other = earlierRoutes.get(index);
			if (other.pathPrefix().isEmpty() || !route.pathPrefix().startsWith(other.pathPrefix())) {
				continue;
			}
			List<String> shadowedMethods = route.methods().stream().filter(other.methods()::contains).toList();
			if (!shadowedMethods.isEmpty()) {
				table.addFinding("path",
						"never applies to " + String.join(", ", shadowedMethods) + ", since route[" + index
								+ "] already covers " + Texts.quote(other.pathPrefix())
								+ "; the first matching route applies, so put the longer path first");
				return;
			}
		}
	}

}

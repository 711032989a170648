package org.redwingramp.records.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.RouteRule;

/**
 * Reads schema 2 of services: {@code [service]}, {@code [service.key]}, {@code [limits]},
 * {@code [retention]} and ordered {@code [[route]]} tables. Stateless and thread safe.
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
		KeySource source = key(table.optionalTable("key"));
		int slices = ServiceFields.slices(table, source.keyed() || table.has("key"));
		boolean checksFences = table.requiredFlag("checks_fences");
		table.finish();
		ServiceFields.Limits limits = limits(root.table("limits"));
		TableReader retentionTable = root.tableOrDefaults("retention");
		long retention = ServiceFields.retention(retentionTable, "request_identity_s", limits.maxDeadlineMillis());
		retentionTable.finish();
		List<RouteRule> routes = routes(root, limits.maxDeadlineMillis());
		return new RecordBody.Service(name, source, slices, limits.slots(), limits.connections(),
				limits.defaultDeadlineMillis(), limits.maxDeadlineMillis(), retention, limits.queueLimit(),
				checksFences, routes);
	}

	private static KeySource key(Optional<TableReader> key) {
		return key.map((table) -> {
			KeySource source = ServiceFields.keySource(table, "header", "path_segment");
			if (!table.has("header") && !table.has("path_segment")) {
				table.require("header",
						"header or path_segment; leave the key out for a service that isn't divided by key");
			}
			table.finish();
			return source;
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
				refuseCovered(table, route, routes);
			}
			routes.add(route);
		}
		return routes;
	}

	private static RouteRule route(TableReader table, long maxDeadlineMillis) {
		List<String> methods = table.texts("methods", METHOD, 1, METHOD_COUNT);
		String path = table.text("path", TextRule.PATH);
		RequestClass requestClass = requestClass(table.text("class", CLASS));
		long deadline = table.optionalNumber("deadline_ms", 1, ServiceFields.MAX_DEADLINE_MILLIS).orElse(0);
		if (table.valid("deadline_ms") && deadline > maxDeadlineMillis) {
			table.refuse("deadline_ms",
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
	 * Refuses a route that an earlier one hides for a method. A payment's route behind a
	 * broad idempotent one would otherwise be retried.
	 * @param table the route's table
	 * @param route the route
	 * @param earlier the routes before it
	 */
	private static void refuseCovered(TableReader table, RouteRule route, List<RouteRule> earlier) {
		for (int index = 0; index < earlier.size(); index++) {
			RouteRule other = earlier.get(index);
			if (other.pathPrefix().isEmpty() || !route.pathPrefix().startsWith(other.pathPrefix())) {
				continue;
			}
			List<String> hidden = route.methods().stream().filter(other.methods()::contains).toList();
			if (!hidden.isEmpty()) {
				table.refuse("path",
						"never applies to " + String.join(", ", hidden) + ", since route[" + index + "] already covers "
								+ Texts.quote(other.pathPrefix())
								+ "; the first matching route applies, so put the longer path first");
				return;
			}
		}
	}

}

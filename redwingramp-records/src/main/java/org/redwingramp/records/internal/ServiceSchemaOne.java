package org.redwingramp.records.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.RouteRule;

/**
 * Reads service records of schema 1: a single table, in which each request class has a
 * list of requests such as {@code "GET /history"}. The lists are not ordered relative to
 * each other, so the route with the longest path prefix applies. Stateless and thread
 * safe.
 */
final class ServiceSchemaOne {

	private static final Map<String, RequestClass> REQUEST_CLASSES = requestClassesByList();

	private static final TextRule REQUEST = TextRule.of(
			"(" + ServiceSchemaTwo.METHODS + ") " + TextRule.PATH.pattern().pattern(),
			"a method in upper case, one space and " + TextRule.PATH.description());

	private ServiceSchemaOne() {
	}

	private static Map<String, RequestClass> requestClassesByList() {
		Map<String, RequestClass> classes = new LinkedHashMap<>();
		classes.put("idempotent", RequestClass.IDEMPOTENT);
		classes.put("at_most_once", RequestClass.AT_MOST_ONCE);
		classes.put("deferrable", RequestClass.DEFERRABLE);
		return classes;
	}

	static RecordBody.Service read(TableReader root, String name) {
		TableReader table = root.table("service");
		KeySource keySource = ServiceFields.keySource(table, "key_header", "key_path_segment");
		int slices = ServiceFields.slices(table, keySource.keyed() || table.has("key_header"));
		ServiceFields.Limits limits = ServiceFields.limits(table);
		long retentionSeconds = ServiceFields.retentionSeconds(table, "retention_s", limits.maxDeadlineMillis());
		boolean checksFences = table.flag("checks_fences");
		List<RouteRule> routes = routes(table);
		table.finish();
		return new RecordBody.Service(name, keySource, slices, limits.slots(), limits.connections(),
				limits.defaultDeadlineMillis(), limits.maxDeadlineMillis(), retentionSeconds, limits.queueLimit(),
				checksFences, routes);
	}

	private static List<RouteRule> routes(TableReader table) {
		Map<String, String> listsByRequest = new HashMap<>();
		List<RouteRule> routes = new ArrayList<>();
		REQUEST_CLASSES.forEach((list, requestClass) -> table.distinctTexts(list, REQUEST, 0, ServiceFields.MAX_ROUTES)
			.forEach((request) -> {
				String otherList = listsByRequest.putIfAbsent(request, list);
				if (otherList != null) {
					table.addFinding(list, "request " + Texts.quote(request) + " is also listed under " + otherList
							+ "; a request has exactly one class");
				}
				int space = request.indexOf(' ');
				routes.add(new RouteRule(List.of(request.substring(0, space)), request.substring(space + 1),
						requestClass, 0));
			}));
		routes.sort(Comparator.comparingInt((RouteRule rule) -> rule.pathPrefix().length()).reversed());
		return routes;
	}

}

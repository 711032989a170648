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
 * Reads schema 1 of services: one table with flat lists of requests such as
 * {@code "GET /history"}. The lists have no order among each other, so the rule with the
 * longest path prefix applies. Stateless and thread safe.
 */
final class ServiceSchemaOne {

	private static final Map<String, RequestClass> LISTS = lists();

	private static final TextRule REQUEST = TextRule.of(
			"(" + ServiceSchemaTwo.METHODS + ") " + TextRule.PATH.pattern().pattern(),
			"a method in upper case, one space and " + TextRule.PATH.allowed());

	private ServiceSchemaOne() {
	}

	private static Map<String, RequestClass> lists() {
		Map<String, RequestClass> lists = new LinkedHashMap<>();
		lists.put("idempotent", RequestClass.IDEMPOTENT);
		lists.put("at_most_once", RequestClass.AT_MOST_ONCE);
		lists.put("deferrable", RequestClass.DEFERRABLE);
		return lists;
	}

	static RecordBody.Service read(TableReader root, String name) {
		TableReader table = root.table("service");
		KeySource source = ServiceFields.keySource(table, "key_header", "key_path_segment");
		int slices = ServiceFields.slices(table, source.keyed() || table.has("key_header"));
		ServiceFields.Limits limits = ServiceFields.limits(table);
		long retention = ServiceFields.retention(table, "retention_s", limits.maxDeadlineMillis());
		boolean checksFences = table.requiredFlag("checks_fences");
		List<RouteRule> routes = routes(table);
		table.finish();
		return new RecordBody.Service(name, source, slices, limits.slots(), limits.connections(),
				limits.defaultDeadlineMillis(), limits.maxDeadlineMillis(), retention, limits.queueLimit(),
				checksFences, routes);
	}

	private static List<RouteRule> routes(TableReader table) {
		Map<String, String> listOfRequest = new HashMap<>();
		List<RouteRule> routes = new ArrayList<>();
		LISTS.forEach(
				(list, requestClass) -> table.texts(list, REQUEST, 0, ServiceFields.MAX_ROUTES).forEach((request) -> {
					String other = listOfRequest.putIfAbsent(request, list);
					if (other != null) {
						table.refuse(list, "found " + Texts.quote(request) + ", which " + other
								+ " lists too; a request has one class");
					}
					int space = request.indexOf(' ');
					routes.add(new RouteRule(List.of(request.substring(0, space)), request.substring(space + 1),
							requestClass, 0));
				}));
		routes.sort(Comparator.comparingInt((RouteRule rule) -> rule.pathPrefix().length()).reversed());
		return routes;
	}

}

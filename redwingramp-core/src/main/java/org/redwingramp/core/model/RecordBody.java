package org.redwingramp.core.model;

import java.util.List;

/**
 * The content of an operator's record, independent of the schema version of its text.
 * Immutable and thread safe.
 */
public sealed interface RecordBody {

	/**
	 * Returns the kind of the record.
	 * @return the kind
	 */
	RecordKind kind();

	/**
	 * Defines a service and how its requests are handled.
	 *
	 * @param name the service's name, the first path segment of its requests
	 * @param keySource where a request carries its key
	 * @param slices the number of slices into which the key space is divided
	 * @param slots the maximum number of requests that a target runs at once
	 * @param connections the maximum number of connections to a target
	 * @param defaultDeadlineMillis the deadline of a request that specifies none
	 * @param maxDeadlineMillis the maximum deadline of a request
	 * @param retentionSeconds the time for which the identity of a request that runs at
	 * most once is kept
	 * @param queueLimit the maximum number of requests that wait for a target
	 * @param checksFences whether the service's targets refuse requests with a lower
	 * fence
	 * @param routes the rules in order of precedence; the first that matches applies, and
	 * a request without a match runs at most once
	 */
	record Service(String name, KeySource keySource, int slices, int slots, int connections, long defaultDeadlineMillis,
			long maxDeadlineMillis, long retentionSeconds, int queueLimit, boolean checksFences,
			List<RouteRule> routes) implements RecordBody {

		public Service {
			routes = List.copyOf(routes);
		}

		@Override
		public RecordKind kind() {
			return RecordKind.SERVICE;
		}

		/**
		 * Returns the first rule that matches a request.
		 * @param method the HTTP method in upper case
		 * @param path the path after the service's name
		 * @return the rule, or if none matches, a default rule that runs the request at
		 * most once
		 */
		public RouteRule rule(String method, String path) {
			return this.routes.stream()
				.filter((rule) -> rule.matches(method, path))
				.findFirst()
				.orElseGet(() -> new RouteRule(List.of(method), "/", RequestClass.AT_MOST_ONCE, 0));
		}

	}

	/**
	 * States whether a failure domain accepts work.
	 *
	 * @param name the failure domain's name
	 * @param region the region's name
	 * @param state whether the failure domain accepts work
	 */
	record Domain(String name, String region, DomainState state) implements RecordBody {

		@Override
		public RecordKind kind() {
			return RecordKind.DOMAIN;
		}

	}

	/**
	 * Pins keys to a target. Each key becomes a separate shard that stays on the target
	 * as long as the target can own it.
	 *
	 * @param name the pin's name
	 * @param service the service's name
	 * @param target the name of the target that owns the keys
	 * @param keys the pinned keys
	 */
	record Pin(String name, String service, String target, List<String> keys) implements RecordBody {

		public Pin {
			keys = List.copyOf(keys);
		}

		@Override
		public RecordKind kind() {
			return RecordKind.PIN;
		}

	}

}

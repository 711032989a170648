package org.redwingramp.core.model;

import java.util.List;

/**
 * The content of an operator's record, independent of the schema version that it was
 * written in. Immutable and thread safe.
 */
public sealed interface RecordBody {

	/**
	 * Returns the kind of the record.
	 * @return the kind
	 */
	RecordKind kind();

	/**
	 * A service and how its requests are handled.
	 *
	 * @param name the service's name, the first path segment of its requests
	 * @param keySource where the key of a request stands
	 * @param slices the number of slices that the keys are divided into
	 * @param slots the largest number of requests that a target runs at once
	 * @param connections the largest number of connections to a target
	 * @param defaultDeadlineMillis the deadline of a request that brings none
	 * @param maxDeadlineMillis the longest deadline
	 * @param retentionSeconds how long the identity of a request that runs at most once
	 * is kept
	 * @param queueLimit the largest number of requests that wait for a target
	 * @param checksFences whether the service's targets refuse requests with a lower
	 * fence
	 * @param routes the rules in order; the first that matches applies, and a request
	 * without a match runs at most once
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
		 * Returns the first rule that covers a request.
		 * @param method the HTTP method in upper case
		 * @param path the path after the service's name
		 * @return the rule, or one that runs the request at most once
		 */
		public RouteRule rule(String method, String path) {
			return this.routes.stream()
				.filter((rule) -> rule.matches(method, path))
				.findFirst()
				.orElseGet(() -> new RouteRule(List.of(method), "/", RequestClass.AT_MOST_ONCE, 0));
		}

	}

	/**
	 * Whether a failure domain takes work.
	 *
	 * @param name the failure domain's name
	 * @param region the region's name
	 * @param state whether the failure domain takes work
	 */
	record Domain(String name, String region, DomainState state) implements RecordBody {

		@Override
		public RecordKind kind() {
			return RecordKind.DOMAIN;
		}

	}

	/**
	 * Fixes the owner of keys. Each key becomes a shard of its own that stays on the
	 * target while the target can take it.
	 *
	 * @param name the pin's name
	 * @param service the service's name
	 * @param target the target's name
	 * @param keys the keys
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

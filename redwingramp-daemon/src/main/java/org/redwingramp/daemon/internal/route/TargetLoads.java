package org.redwingramp.daemon.internal.route;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The load of each target as known to this instance: the requests that this instance has
 * in flight, and the load that the target's gate reported last. Thread safe.
 */
final class TargetLoads {

	private final Map<String, Load> loads = new ConcurrentHashMap<>();

	void sendStarted(String target) {
		load(target).inFlight.incrementAndGet();
	}

	void sendEnded(String target, int reportedRequests, long serviceNanos) {
		Load load = load(target);
		load.inFlight.decrementAndGet();
		load.reportedRequests = reportedRequests;
		if (serviceNanos > 0) {
			load.serviceNanos = serviceNanos;
		}
	}

	int outstandingRequests(String target) {
		Load load = load(target);
		return Math.max(load.inFlight.get(), load.reportedRequests);
	}

	long serviceNanos(String target) {
		return load(target).serviceNanos;
	}

	private Load load(String target) {
		return this.loads.computeIfAbsent(target, (name) -> new Load());
	}

	private static final class Load {

		private final AtomicInteger inFlight = new AtomicInteger();

		private volatile int reportedRequests;

		private volatile long serviceNanos;

	}

}

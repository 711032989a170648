package org.redwingramp.daemon.internal.route;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What this instance knows of the targets' loads: its own requests under way and the load
 * that the gate stated last. Thread safe.
 */
final class TargetLoads {

	private final Map<String, Load> loads = new ConcurrentHashMap<>();

	void started(String target) {
		load(target).underWay.incrementAndGet();
	}

	void ended(String target, int busy, long serviceNanos) {
		Load load = load(target);
		load.underWay.decrementAndGet();
		load.stated = busy;
		if (serviceNanos > 0) {
			load.serviceNanos = serviceNanos;
		}
	}

	int busy(String target) {
		Load load = load(target);
		return Math.max(load.underWay.get(), load.stated);
	}

	long serviceNanos(String target) {
		return load(target).serviceNanos;
	}

	private Load load(String target) {
		return this.loads.computeIfAbsent(target, (name) -> new Load());
	}

	private static final class Load {

		private final AtomicInteger underWay = new AtomicInteger();

		private volatile int stated;

		private volatile long serviceNanos;

	}

}

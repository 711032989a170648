package org.redwingramp.daemon.internal.metrics;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

import org.redwingramp.core.model.Outcome;

/**
 * Counts callers' requests by outcome and measures their latency. Thread safe.
 */
public final class CallerMetrics {

	private final MetricRegistry registry;

	private final Timer latency;

	/**
	 * Registers the metrics.
	 * @param registry the registry to add them to
	 */
	public CallerMetrics(MetricRegistry registry) {
		this.registry = registry;
		this.latency = registry.timer("request");
		for (Outcome outcome : Outcome.values()) {
			registry.counter(counterName(outcome));
		}
	}

	/**
	 * Records the response to a request.
	 * @param outcome the outcome that the response states
	 * @param elapsedNanos the time since the request arrived, in nanoseconds
	 */
	public void recordResponse(Outcome outcome, long elapsedNanos) {
		this.latency.update(elapsedNanos, TimeUnit.NANOSECONDS);
		this.registry.counter(counterName(outcome)).inc();
	}

	private static String counterName(Outcome outcome) {
		return "requests." + outcome.name().toLowerCase(Locale.ROOT);
	}

}

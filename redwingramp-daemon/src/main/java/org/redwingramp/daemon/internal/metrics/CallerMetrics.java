package org.redwingramp.daemon.internal.metrics;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

import org.redwingramp.core.model.Outcome;

/**
 * Counts and times callers' requests by outcome. Thread safe.
 */
public final class CallerMetrics {

	private final MetricRegistry registry;

	private final Timer times;

	/**
	 * Creates the metrics.
	 * @param registry the registry that they are read from
	 */
	public CallerMetrics(MetricRegistry registry) {
		this.registry = registry;
		this.times = registry.timer("request");
		for (Outcome outcome : Outcome.values()) {
			registry.counter(name(outcome));
		}
	}

	/**
	 * Counts an answer.
	 * @param outcome what the caller was told
	 * @param nanos the time since the request arrived
	 */
	public void answered(Outcome outcome, long nanos) {
		this.times.update(nanos, TimeUnit.NANOSECONDS);
		this.registry.counter(name(outcome)).inc();
	}

	private static String name(Outcome outcome) {
		return "requests." + outcome.name().toLowerCase(Locale.ROOT);
	}

}

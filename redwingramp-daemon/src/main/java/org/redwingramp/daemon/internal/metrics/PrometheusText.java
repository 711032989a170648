package org.redwingramp.daemon.internal.metrics;

import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Writes a metric registry in the Prometheus text format. A metric's name is the prefix
 * {@code redwingramp_} and its name in the registry, with underscores in place of other
 * characters; times are in seconds. Stateless and thread safe.
 */
public final class PrometheusText {

	private static final String PREFIX = "redwingramp_";

	private static final double NANOS_PER_SECOND = 1e9;

	private PrometheusText() {
	}

	/**
	 * Writes all counters, gauges and timers.
	 * @param registry the registry
	 * @return the text
	 */
	public static String write(MetricRegistry registry) {
		Stream<String> counters = registry.getCounters().entrySet().stream().map(PrometheusText::counter);
		Stream<String> gauges = registry.getGauges().entrySet().stream().map(PrometheusText::gauge);
		Stream<String> timers = registry.getTimers().entrySet().stream().map(PrometheusText::timer);
		return Stream.of(counters, gauges, timers).flatMap((lines) -> lines).collect(Collectors.joining());
	}

	private static String counter(Map.Entry<String, Counter> entry) {
		String name = metricName(entry.getKey()) + "_total";
		return "# TYPE " + name + " counter\n" + name + " " + entry.getValue().getCount() + "\n";
	}

	@SuppressWarnings("rawtypes")
	private static String gauge(Map.Entry<String, Gauge> entry) {
		String name = metricName(entry.getKey());
		return "# TYPE " + name + " gauge\n" + name + " " + entry.getValue().getValue() + "\n";
	}

	private static String timer(Map.Entry<String, Timer> entry) {
		String name = metricName(entry.getKey()) + "_seconds";
		Snapshot snapshot = entry.getValue().getSnapshot();
		return "# TYPE " + name + " summary\n" + quantile(name, "0.5", snapshot.getMedian())
				+ quantile(name, "0.99", snapshot.get99thPercentile())
				+ quantile(name, "0.999", snapshot.get999thPercentile()) + name + "_count "
				+ entry.getValue().getCount() + "\n";
	}

	private static String quantile(String name, String quantile, double nanos) {
		return String.format(Locale.ROOT, "%s{quantile=\"%s\"} %.6f\n", name, quantile, nanos / NANOS_PER_SECOND);
	}

	private static String metricName(String registryName) {
		return PREFIX + registryName.replaceAll("[^A-Za-z0-9]", "_");
	}

}

package org.redwingramp.node.events;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;

/**
 * The counters, gauges and latency histograms of a process, and their text form. Label
 * values come from enums and fixed words, so the number of series is bounded. Thread
 * safe.
 */
public final class NodeMetrics {

	private static final String PREFIX = "redwingramp_";

	/** Histograms show the last ten seconds, two of the platform's scrape intervals. */
	private static final long WINDOW_SECONDS = 10;

	private static final double[] QUANTILES = { 0.5, 0.9, 0.99, 0.999 };

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Counts something.
	 * @param name the metric's name
	 * @param label what was counted, from a fixed set of words
	 */
	public void count(String name, String label) {
		this.registry.counter(name + "_total{kind=\"" + label.toLowerCase(Locale.ROOT) + "\"}").inc();
	}

	/**
	 * Records a time.
	 * @param name the metric's name, with its unit
	 * @param value the value
	 */
	public void record(String name, long value) {
		this.registry
			.histogram(name, () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)))
			.update(value);
	}

	/**
	 * Shows a value that is read when the metrics are fetched, in the fetching thread.
	 * @param name the metric's name, with its unit
	 * @param value reads the value
	 */
	public void gauge(String name, DoubleSupplier value) {
		this.registry.gauge(name, () -> (Gauge<Double>) value::getAsDouble);
	}

	/**
	 * Returns all metrics, one a line.
	 * @return the text
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		this.registry.getGauges().forEach((name, gauge) -> line(text, name, gauge.getValue()));
		this.registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
		this.registry.getHistograms().forEach((name, histogram) -> histogram(text, name, histogram));
		return text.toString();
	}

	private static void histogram(StringBuilder text, String name, Histogram histogram) {
		Snapshot snapshot = histogram.getSnapshot();
		for (double quantile : QUANTILES) {
			line(text, name + "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile));
		}
		line(text, name + "_count", histogram.getCount());
	}

	private static void line(StringBuilder text, String name, Object value) {
		text.append(PREFIX).append(name).append(' ').append(value).append('\n');
	}

}

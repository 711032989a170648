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
 * Registers the counters, gauges and latency histograms of a process and formats them as
 * text. Label values come from enums and other fixed sets, so the number of time series
 * is bounded. Thread safe.
 */
public final class NodeMetrics {

	private static final String PREFIX = "redwingramp_";

	/** Histograms cover two scrape intervals of the platform, of five seconds each. */
	private static final long WINDOW_SECONDS = 10;

	private static final double[] QUANTILES = { 0.5, 0.9, 0.99, 0.999 };

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Increments a counter.
	 * @param name the metric's name
	 * @param label the value of the label {@code kind}, from a fixed set
	 */
	public void count(String name, String label) {
		this.registry.counter(name + "_total{kind=\"" + label.toLowerCase(Locale.ROOT) + "\"}").inc();
	}

	/**
	 * Adds a value to a histogram.
	 * @param name the metric's name, with its unit
	 * @param value the value to add
	 */
	public void record(String name, long value) {
		this.registry
			.histogram(name, () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)))
			.update(value);
	}

	/**
	 * Registers a gauge. Its value is read whenever the metrics are formatted, in the
	 * calling thread.
	 * @param name the metric's name, with its unit
	 * @param value supplies the value
	 */
	public void gauge(String name, DoubleSupplier value) {
		this.registry.gauge(name, () -> (Gauge<Double>) value::getAsDouble);
	}

	/**
	 * Formats all metrics, one value per line.
	 * @return the text
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		this.registry.getGauges().forEach((name, gauge) -> appendLine(text, name, gauge.getValue()));
		this.registry.getCounters().forEach((name, counter) -> appendLine(text, name, counter.getCount()));
		this.registry.getHistograms().forEach((name, histogram) -> appendHistogram(text, name, histogram));
		return text.toString();
	}

	private static void appendHistogram(StringBuilder text, String name, Histogram histogram) {
		Snapshot snapshot = histogram.getSnapshot();
		for (double quantile : QUANTILES) {
			appendLine(text, name + "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile));
		}
		appendLine(text, name + "_count", histogram.getCount());
	}

	private static void appendLine(StringBuilder text, String name, Object value) {
		text.append(PREFIX).append(name).append(' ').append(value).append('\n');
	}

}

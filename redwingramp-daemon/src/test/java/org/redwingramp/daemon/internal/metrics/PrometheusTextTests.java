package org.redwingramp.daemon.internal.metrics;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

class PrometheusTextTests {

	/**
	 * Guards against output that Prometheus can't parse, and against missing outcomes.
	 */
	@Test
	void shouldWriteCountersGaugesAndTimers() {
		MetricRegistry registry = new MetricRegistry();
		CallerMetrics metrics = new CallerMetrics(registry);
		registry.gauge("view.version", () -> () -> 7L);
		metrics.recordResponse(Outcome.NOT_RUN, 2_000_000);
		String text = PrometheusText.write(registry);
		assertThat(text.lines()).contains("# TYPE redwingramp_requests_not_run_total counter",
				"redwingramp_requests_not_run_total 1", "redwingramp_requests_unknown_total 0",
				"redwingramp_view_version 7", "redwingramp_request_seconds{quantile=\"0.5\"} 0.002000",
				"redwingramp_request_seconds_count 1");
		assertThat(text).endsWith("\n");
	}

}

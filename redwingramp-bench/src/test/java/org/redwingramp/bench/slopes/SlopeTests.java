package org.redwingramp.bench.slopes;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against a wrong least-squares line through the measured points.
 */
class SlopeTests {

	private static final double TOLERANCE = 1e-9;

	@Test
	void shouldFitPointsOnALineExactly() {
		Slope slope = Slope.of("memory", "shard", "KiB", new int[] { 10, 40, 160 }, new double[] { 25, 85, 325 });

		assertThat(slope.slope()).isCloseTo(2, within(TOLERANCE));
		assertThat(slope.intercept()).isCloseTo(5, within(TOLERANCE));
		assertThat(slope.fit()).isCloseTo(1, within(TOLERANCE));
	}

	@Test
	void shouldReportAPoorFit() {
		Slope slope = Slope.of("time", "entry", "us", new int[] { 1, 2, 3 }, new double[] { 1, 3, 1 });

		assertThat(slope.slope()).isCloseTo(0, within(TOLERANCE));
		assertThat(slope.fit()).isCloseTo(0, within(TOLERANCE));
	}

}

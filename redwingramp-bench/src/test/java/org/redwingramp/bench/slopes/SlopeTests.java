package org.redwingramp.bench.slopes;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against wrong lines through the measurements.
 */
class SlopeTests {

	private static final double EXACT = 1e-9;

	@Test
	void shouldFindTheLineThroughPointsOnIt() {
		Slope slope = Slope.of("memory", "shard", "KiB", new int[] { 10, 40, 160 }, new double[] { 25, 85, 325 });

		assertThat(slope.slope()).isCloseTo(2, within(EXACT));
		assertThat(slope.intercept()).isCloseTo(5, within(EXACT));
		assertThat(slope.fit()).isCloseTo(1, within(EXACT));
	}

	@Test
	void shouldReportAPoorFit() {
		Slope slope = Slope.of("time", "entry", "us", new int[] { 1, 2, 3 }, new double[] { 1, 3, 1 });

		assertThat(slope.slope()).isCloseTo(0, within(EXACT));
		assertThat(slope.fit()).isCloseTo(0, within(EXACT));
	}

}

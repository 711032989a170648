package org.redwingramp.bench;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.redwingramp.bench.soak.Round;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs a fixed small set of randomised rounds. Guards against two leaders that hold a
 * lease at the same time, lost or reordered log entries, and a consensus group that
 * doesn't recover from faults.
 */
class SoakTests {

	private static final long SEED = 20261204;

	private static final long ROUNDS = 60;

	@Test
	void shouldFindNoViolation() {
		List<Round.Result> results = Soak.rounds(SEED, ROUNDS);
		assertThat(results).allSatisfy(
				(result) -> assertThat(result.violations()).as("round with seed %d: %s", result.seed(), result.trace())
					.isEmpty());
		assertThat(results).allSatisfy((result) -> assertThat(result.faults()).isNotEmpty());
	}

	@Test
	void shouldRepeatARoundExactly() {
		assertThat(Round.run(SEED)).isEqualTo(Round.run(SEED));
	}

}

package org.redwingramp.core.model;

import java.util.Arrays;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class KeyHashTests {

	private static final int SLICES = 256;

	private static final int KEYS = 256_000;

	/**
	 * Guards against a change of the mapping of keys to slices, on which stored state
	 * depends.
	 */
	@Test
	void shouldReturnAStableHash() {
		assertThat(KeyHash.hash("wok-4411")).isEqualTo(7136914995781195041L);
	}

	/** Guards against slices that contain far more keys than others. */
	@Test
	void shouldDistributeShortKeysEvenly() {
		int[] counts = new int[SLICES];
		IntStream.range(0, KEYS).forEach((i) -> counts[KeyHash.slice("k" + i, SLICES)]++);
		assertThat(Arrays.stream(counts).max().orElseThrow()).isLessThan(KEYS / SLICES * 5 / 4);
	}

}

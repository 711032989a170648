package org.redwingramp.bench.slopes;

import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;
import java.util.stream.LongStream;

/**
 * Measures memory and time in this process. Thread safe.
 */
final class Meter {

	private static final int COLLECTIONS = 3;

	private static final int TRIES = 3;

	private static final int ROUNDS = 5;

	private Meter() {
	}

	// Returns the bytes that the supplied object keeps alive, the most of several
	// tries: a try comes out too low if the collector frees something older meanwhile.
	static long bytes(Supplier<?> supplier) {
		return LongStream.generate(() -> once(supplier)).limit(TRIES).max().orElseThrow();
	}

	private static long once(Supplier<?> supplier) {
		long before = used();
		Object kept = supplier.get();
		long after = used();
		if (kept == null) {
			throw new IllegalStateException("nothing was kept");
		}
		Reference.reachabilityFence(kept);
		return after - before;
	}

	// Returns the median over rounds of the microseconds for each repetition.
	static double micros(int repetitions, Runnable action) {
		double[] rounds = new double[ROUNDS];
		for (int round = 0; round < ROUNDS; round++) {
			long start = System.nanoTime();
			for (int i = 0; i < repetitions; i++) {
				action.run();
			}
			rounds[round] = (System.nanoTime() - start) / 1000.0 / repetitions;
		}
		Arrays.sort(rounds);
		return rounds[ROUNDS / 2];
	}

	private static long used() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}

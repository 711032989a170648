package org.redwingramp.bench.slopes;

import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;
import java.util.stream.LongStream;

/**
 * Measures heap memory and elapsed time in this process. Stateless and thread safe.
 */
final class Meter {

	private static final int GC_RUNS = 3;

	private static final int ATTEMPTS = 3;

	private static final int ROUNDS = 5;

	private Meter() {
	}

	// Returns the bytes of heap that the supplied object retains, as the maximum of
	// several attempts: an attempt reads too low if the garbage collector frees older
	// objects meanwhile.
	static long retainedBytes(Supplier<?> supplier) {
		return LongStream.generate(() -> retainedBytesOnce(supplier)).limit(ATTEMPTS).max().orElseThrow();
	}

	private static long retainedBytesOnce(Supplier<?> supplier) {
		long before = usedBytes();
		Object retained = supplier.get();
		long after = usedBytes();
		if (retained == null) {
			throw new IllegalStateException("the supplier returned no object to measure");
		}
		Reference.reachabilityFence(retained);
		return after - before;
	}

	// Returns the microseconds per repetition, as the median of several rounds.
	static double medianMicros(int repetitions, Runnable action) {
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

	private static long usedBytes() {
		for (int i = 0; i < GC_RUNS; i++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}

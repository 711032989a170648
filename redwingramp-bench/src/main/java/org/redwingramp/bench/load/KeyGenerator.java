package org.redwingramp.bench.load;

import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/**
 * Draws keys from a Zipf distribution and creates request identities. Immutable and
 * thread safe.
 */
final class KeyGenerator {

	private final double[] cumulativeWeights;

	KeyGenerator(int keys, double zipf) {
		this.cumulativeWeights = new double[keys];
		double sum = 0;
		for (int i = 0; i < keys; i++) {
			sum += 1 / Math.pow(i + 1, zipf);
			this.cumulativeWeights[i] = sum;
		}
	}

	String draw(RandomGenerator random) {
		double point = random.nextDouble() * this.cumulativeWeights[this.cumulativeWeights.length - 1];
		int index = Arrays.binarySearch(this.cumulativeWeights, point);
		return "wok-" + ((index >= 0) ? index : -index - 1);
	}

	// Returns a UUIDv7 (RFC 9562) of the current time.
	static String newIdentity() {
		RandomGenerator random = ThreadLocalRandom.current();
		long time = System.currentTimeMillis();
		return String.format("%08x-%04x-7%03x-%04x-%012x", time >>> 16, time & 0xffff, random.nextInt(0x1000),
				0x8000 | random.nextInt(0x4000), random.nextLong(1L << 48));
	}

}

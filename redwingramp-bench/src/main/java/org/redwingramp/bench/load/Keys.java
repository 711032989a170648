package org.redwingramp.bench.load;

import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/**
 * Draws keys and identities. Immutable and thread safe.
 */
final class Keys {

	private final double[] cumulated;

	Keys(int keys, double zipf) {
		this.cumulated = new double[keys];
		double sum = 0;
		for (int i = 0; i < keys; i++) {
			sum += 1 / Math.pow(i + 1, zipf);
			this.cumulated[i] = sum;
		}
	}

	String draw(RandomGenerator random) {
		double point = random.nextDouble() * this.cumulated[this.cumulated.length - 1];
		int found = Arrays.binarySearch(this.cumulated, point);
		return "wok-" + ((found >= 0) ? found : -found - 1);
	}

	// Returns a UUIDv7 (RFC 9562) of this moment.
	static String identity() {
		RandomGenerator random = ThreadLocalRandom.current();
		long time = System.currentTimeMillis();
		return String.format("%08x-%04x-7%03x-%04x-%012x", time >>> 16, time & 0xffff, random.nextInt(0x1000),
				0x8000 | random.nextInt(0x4000), random.nextLong(1L << 48));
	}

}

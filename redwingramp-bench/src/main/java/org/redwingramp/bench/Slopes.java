package org.redwingramp.bench;

import org.redwingramp.bench.slopes.ControlSlopes;
import org.redwingramp.bench.slopes.EntrySlopes;
import org.redwingramp.wire.CodecException;

/**
 * Measures in one process how memory, time and bytes grow with the size, and prints one
 * JSON line for each slope. docs/CAPACITY.md works with these slopes.
 */
public final class Slopes {

	/** Compiled code is several times faster, so the first passes don't count. */
	private static final int WARM_UP_PASSES = 2;

	private Slopes() {
	}

	/**
	 * Runs all measurements, under two minutes.
	 * @param args none
	 * @throws CodecException if a message is over its limit
	 */
	public static void main(String[] args) throws CodecException {
		for (int pass = 0; pass < WARM_UP_PASSES; pass++) {
			new ControlSlopes().all();
			new EntrySlopes().all();
		}
		new ControlSlopes().all().forEach((slope) -> System.out.println(slope.json()));
		new EntrySlopes().all().forEach((slope) -> System.out.println(slope.json()));
	}

}

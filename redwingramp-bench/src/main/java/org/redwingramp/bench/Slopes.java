package org.redwingramp.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.redwingramp.bench.slopes.ControlSlopes;
import org.redwingramp.bench.slopes.EntrySlopes;
import org.redwingramp.bench.slopes.Slope;
import org.redwingramp.bench.slopes.TransportSlopes;
import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.OutcomeUnknownException;

/**
 * Measures in one process how memory, time and message sizes grow with the size of a
 * deployment, and prints one line of JSON for each slope. docs/CAPACITY.md is based on
 * these slopes.
 */
public final class Slopes {

	/** Compiled code is several times faster, so the first passes are discarded. */
	private static final int WARM_UP_PASSES = 2;

	private Slopes() {
	}

	/**
	 * Runs all measurements, which takes less than two minutes.
	 * @param args none
	 * @throws CodecException if a message exceeds its size limit
	 * @throws IOException if the loopback port can't be opened
	 * @throws CallNotExecutedException if a call over loopback wasn't sent
	 * @throws OutcomeUnknownException if a call over loopback received no reply
	 */
	public static void main(String[] args)
			throws CodecException, IOException, CallNotExecutedException, OutcomeUnknownException {
		for (int pass = 0; pass < WARM_UP_PASSES; pass++) {
			measure();
		}
		measure().forEach((slope) -> System.out.println(slope.json()));
	}

	private static List<Slope> measure()
			throws CodecException, IOException, CallNotExecutedException, OutcomeUnknownException {
		List<Slope> slopes = new ArrayList<>(new ControlSlopes().all());
		slopes.addAll(new EntrySlopes().all());
		slopes.addAll(new TransportSlopes().all());
		return slopes;
	}

}

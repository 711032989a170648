package org.redwingramp.bench.measure;

import org.redwingramp.core.routing.GateSettings;

/**
 * The decisions that a run enables, so that they can be compared with a simple baseline.
 * Immutable and thread safe.
 *
 * @param name the name of the setup in the results
 * @param limits whether the gate limits concurrent requests to the target's slots
 * @param ramp whether the limit of a cold target ramps up from 1
 * @param earlyRefusal whether requests that would miss their deadline are refused on
 * arrival
 * @param loadAwareChoice whether targets are chosen by load and ejected if they are slow,
 * as opposed to round robin
 * @param hedges whether slow requests are hedged
 * @param retryBudget whether a retry budget limits retries
 */
record Safeguards(String name, boolean limits, boolean ramp, boolean earlyRefusal, boolean loadAwareChoice,
		boolean hedges, boolean retryBudget) {

	static final Safeguards ALL = new Safeguards("all", true, true, true, true, true, true);

	static final Safeguards NONE = new Safeguards("baseline", false, false, false, false, false, false);

	static final Safeguards NO_RAMP = new Safeguards("no-ramp", true, false, true, true, true, true);

	private static final int QUEUE_LIMIT_PER_SLOT = 32;

	GateSettings gateSettings(int slots) {
		return (this.limits) ? new GateSettings(slots, QUEUE_LIMIT_PER_SLOT * slots, this.ramp, this.earlyRefusal)
				: GateSettings.unlimited();
	}

}

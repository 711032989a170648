package org.redwingramp.bench.measure;

import org.redwingramp.core.routing.GateSettings;

/**
 * Which decisions a run uses, so that each is measured beside its simplest baseline.
 * Immutable and thread safe.
 *
 * @param name the name in the results
 * @param limits whether a gate limits the concurrent requests to the slots
 * @param ramp whether the limit of a cold target grows from 1
 * @param earlyRefusal whether requests that would be late are refused at once
 * @param choice whether the choice of a target and ejection look at load and speed, as
 * opposed to an even round robin
 * @param hedges whether slow requests are sent again
 * @param budget whether retries are limited
 */
record Safeguards(String name, boolean limits, boolean ramp, boolean earlyRefusal, boolean choice, boolean hedges,
		boolean budget) {

	static final Safeguards ALL = new Safeguards("all", true, true, true, true, true, true);

	static final Safeguards NONE = new Safeguards("baseline", false, false, false, false, false, false);

	static final Safeguards NO_RAMP = new Safeguards("no-ramp", true, false, true, true, true, true);

	private static final int QUEUE_PER_SLOT = 32;

	GateSettings gate(int slots) {
		return (this.limits) ? new GateSettings(slots, QUEUE_PER_SLOT * slots, this.ramp, this.earlyRefusal)
				: GateSettings.unlimited();
	}

}

package org.redwingramp.core.fleet;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tells heartbeats of the fleet's targets from those that other programs send. What the
 * latter state must not affect any target. Stateless and thread safe.
 */
final class HeartbeatCheck {

	/**
	 * The most by which a target's wall clock may be ahead, in milliseconds. A start in
	 * the far future would outdate all later heartbeats of the same name or address.
	 */
	private static final long MAX_CLOCK_LEAD_MILLIS = 24 * 3600 * 1000L;

	private HeartbeatCheck() {
	}

	// Returns why the description can't come from a target, empty if it can. A known
	// target may belong to a service that the configuration no longer names. Without any
	// failure domains, all are accepted.
	static Optional<String> objection(FleetTarget described, Optional<FleetTarget> known, Set<String> services,
			Set<String> domains, long wallMillis) {
		Optional<FleetTarget> running = known.filter((target) -> target.born() == described.born());
		if (running.isPresent()) {
			boolean same = running.get().stage() == FleetTarget.Stage.LEFT
					|| running.get().service().equals(described.service())
							&& running.get().address().equals(described.address())
							&& running.get().domain().equals(described.domain());
			return same ? Optional.empty() : Optional.of("target " + described.name() + " is registered with "
					+ place(running.get()) + " (was " + place(described) + ")");
		}
		if (!services.contains(described.service())) {
			return Optional.of("service " + described.service() + " isn't named by the configuration in force");
		}
		if (!domains.isEmpty() && !domains.contains(described.domain())) {
			return Optional.of("failure domain " + described.domain() + " isn't one of " + new TreeSet<>(domains));
		}
		if (described.born() - wallMillis > MAX_CLOCK_LEAD_MILLIS) {
			return Optional.of("the start time " + described.born() + " of target " + described.name()
					+ " is in the future (time here: " + wallMillis + ")");
		}
		return Optional.empty();
	}

	private static String place(FleetTarget target) {
		return "service " + target.service() + " at " + target.address() + " in " + target.domain();
	}

}

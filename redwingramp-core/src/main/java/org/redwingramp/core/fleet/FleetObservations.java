package org.redwingramp.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import org.redwingramp.core.dispatch.RateReservations;
import org.redwingramp.core.dispatch.RateReservations.Reservation;
import org.redwingramp.core.fleet.EntryReport.TargetUse;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationKind;
import org.redwingramp.core.observation.ObservationTable;
import org.redwingramp.core.observation.ObservationTable.Observed;

/**
 * The observations of entry instances as the leader distributes them, and what follows
 * from the rate limits among them: permits, and the capacity of targets. Invariant: a
 * limit that a former incarnation of a target stated isn't used. Not thread safe.
 */
final class FleetObservations {

	private static final double MILLIS_PER_SECOND = 1000;

	/** Weight of one report in the average response time of a service. */
	private static final double MEAN_MILLIS_WEIGHT = 0.05;

	/** Capacity of a target that accepts hardly any requests; positive for divisions. */
	private static final double MIN_CAPACITY = 0.01;

	private final ObservationTable table = new ObservationTable();

	private final RateReservations reservations = new RateReservations();

	private final Map<String, Double> meanMillisByService = new HashMap<>();

	private final TargetHealths healths;

	private final FleetOutput output;

	private final Runnable changed;

	// Runs the action whenever the published observations have changed.
	FleetObservations(TargetHealths healths, FleetOutput output, Runnable changed) {
		this.healths = healths;
		this.output = output;
		this.changed = changed;
	}

	List<Observed> published() {
		return this.table.published();
	}

	void received(Observation observation, long now) {
		Observed observed = Observed.of(observation, now);
		boolean current = switch (observed.kind()) {
			case TARGET_LIMIT -> this.healths.find(observed.subject())
				.filter((health) -> !health.joinedAfter(observed.observedNanos()))
				.isPresent();
			case CRASHED -> true;
		};
		if (current) {
			publish(observed);
		}
	}

	// A new incarnation has no limit until it states one itself.
	void targetJoined(String target, long now) {
		if (limit(target, now).isPresent()) {
			publish(new Observed(ObservationKind.TARGET_LIMIT, target, Observation.NONE, now));
		}
	}

	void responsesReported(String service, TargetUse usage) {
		double millis = usage.expectedMillis() / usage.answers();
		this.meanMillisByService.merge(service, millis, (mean, ignored) -> mean + (millis - mean) * MEAN_MILLIS_WEIGHT);
	}

	Reservation reserve(String target, double perSecond, long maxDelayNanos, long now) {
		double limit = limit(target, now).orElse(Double.MAX_VALUE);
		return this.reservations.reserve(target, Math.min(limit, perSecond), maxDelayNanos, now);
	}

	// Returns how many requests of average length a target of average speed would have to
	// run at once for the same throughput.
	double capacity(FleetTarget target, long now) {
		double bySpeed = target.slots() / this.healths.of(target, now).slowness();
		OptionalDouble limit = limit(target.name(), now);
		Double meanMillis = this.meanMillisByService.get(target.service());
		return (limit.isEmpty() || meanMillis == null) ? bySpeed
				: Math.min(bySpeed, Math.max(MIN_CAPACITY, limit.getAsDouble() * meanMillis / MILLIS_PER_SECOND));
	}

	void expire(long now) {
		this.table.expire(now);
		this.reservations.dropUnused(now);
	}

	private OptionalDouble limit(String target, long now) {
		return this.table.value(ObservationKind.TARGET_LIMIT, target, now);
	}

	private void publish(Observed observed) {
		if (this.table.record(observed.kind(), observed.subject(), observed.value(), observed.observedNanos())) {
			this.changed.run();
			this.output.decision("observation", "kind", observed.kind(), "subject", observed.subject(), "value",
					observed.value());
		}
	}

}

package org.redwingramp.node.entry;

import java.util.Optional;
import java.util.OptionalDouble;

import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationTable.Observed;

/**
 * The rate at which all entry instances together may send requests to a target. Immutable
 * and thread safe.
 *
 * @param perSecond the requests per second
 * @param stated the limit that the target stated, if any
 * @param reason why a request is refused if the rate is exhausted
 */
record TargetRate(double perSecond, Optional<Observed> stated, Refusal reason) {

	// Returns the lower of the two rates, or empty if neither limits the target.
	static Optional<TargetRate> lowest(Optional<Observed> stated, OptionalDouble coldPerSecond) {
		double limit = stated.map(Observed::value).orElse(Double.MAX_VALUE);
		double cold = coldPerSecond.orElse(Double.MAX_VALUE);
		if (stated.isEmpty() && coldPerSecond.isEmpty()) {
			return Optional.empty();
		}
		return Optional
			.of(new TargetRate(Math.min(limit, cold), stated, (cold < limit) ? Refusal.COLD : Refusal.RATE_LIMITED));
	}

	// Returns whether this rate is higher than the other one.
	boolean exceeds(TargetRate other) {
		return this.perSecond > other.perSecond;
	}

	Optional<Observation> statedToSend(long now) {
		return this.stated.map((observed) -> observed.toSend(now));
	}

	// Returns the age of the stated limit, -1 if there is none.
	long statedAgeMillis(long now) {
		return this.stated.map((observed) -> observed.ageMillis(now)).orElse(-1L);
	}

}

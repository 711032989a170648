package org.redwingramp.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a control leader or an entry instance has been told so far of targets and
 * evacuations, however it is put into views: the facts that a request to a cold target is
 * judged by. Not thread safe.
 */
final class ToldFacts {

	private static final long MS = SimulatedTime.MS;

	// When the newest heartbeat was sent, by target.
	private final Map<String, Long> heartbeats = new HashMap<>();

	// When the newest known incarnation started, by target.
	private final Map<String, Long> starts = new HashMap<>();

	// The number of evacuations so far, by failure domain.
	private final Map<String, Integer> evacuations = new HashMap<>();

	// A copy of the present facts, which nobody changes; empty once there are others.
	private Optional<ToldFacts> snapshot = Optional.empty();

	ToldFacts copy() {
		ToldFacts copy = new ToldFacts();
		copy.add(this);
		return copy;
	}

	// Returns the facts of this moment, the same object as long as they don't change.
	ToldFacts snapshot() {
		if (this.snapshot.isEmpty()) {
			this.snapshot = Optional.of(copy());
		}
		return this.snapshot.get();
	}

	void heartbeat(FleetTarget sender, long sentNanos) {
		this.heartbeats.merge(sender.name(), sentNanos, Math::max);
		started(sender);
	}

	void started(FleetTarget target) {
		this.starts.merge(target.name(), target.born() * MS, Math::max);
		this.snapshot = Optional.empty();
	}

	void evacuated(String domain) {
		this.evacuations.merge(domain, 1, Integer::sum);
		this.snapshot = Optional.empty();
	}

	int evacuations(String domain) {
		return this.evacuations.getOrDefault(domain, 0);
	}

	void add(ToldFacts other) {
		other.heartbeats.forEach((name, sent) -> this.heartbeats.merge(name, sent, Math::max));
		other.starts.forEach((name, start) -> this.starts.merge(name, start, Math::max));
		other.evacuations.forEach((domain, count) -> this.evacuations.merge(domain, count, Math::max));
		this.snapshot = Optional.empty();
	}

	// Returns whether whoever was told only this can't know that a cold target is cold:
	// the newest heartbeat of the newest incarnation that it was told of was sent before
	// the target became cold, and if that was during an evacuation, it wasn't told of the
	// evacuation. Whoever was told of no heartbeat knows that it knows nothing.
	boolean excuses(ColdTarget target) {
		long heartbeat = this.heartbeats.getOrDefault(target.name, Long.MIN_VALUE);
		long start = this.starts.getOrDefault(target.name, Long.MIN_VALUE);
		boolean toldOfPeriod = heartbeat > target.coldFromNanos || start >= target.coldFromNanos;
		boolean toldOfEvacuation = target.coldInEvacuation > 0 && evacuations(target.domain) >= target.coldInEvacuation;
		return heartbeat >= start && heartbeat != Long.MIN_VALUE && !toldOfPeriod && !toldOfEvacuation;
	}

	@Override
	public String toString() {
		return "heartbeats " + this.heartbeats + ", starts " + this.starts + ", evacuations " + this.evacuations;
	}

}

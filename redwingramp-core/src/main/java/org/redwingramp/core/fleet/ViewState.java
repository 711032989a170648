package org.redwingramp.core.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.observation.ObservationTable.Observed;

/**
 * Complete state that entry instances need for routing, at one point in time. The
 * difference of two states is the {@link FleetView} that updates an entry instance from
 * one to the other. Immutable and thread safe.
 */
public final class ViewState {

	/** The state of an entry instance before its first view. */
	public static final ViewState EMPTY = new ViewState(0, 0, 0, Map.of(), Map.of(), Set.of());

	/**
	 * Maximum time by which a cold period may end earlier than stated without a view. The
	 * end is computed from the remaining time that a target reports with each heartbeat,
	 * so that it varies slightly although the cold period is the same.
	 */
	private static final long EARLIER_END_TOLERANCE_MILLIS = 250;

	/**
	 * The same for a later end. Short, since entry instances send without a limit in this
	 * time.
	 */
	private static final long LATER_END_TOLERANCE_MILLIS = 20;

	private final long sequence;

	private final long configVersion;

	private final int instances;

	private final Map<String, TargetState> targets;

	private final Map<String, KeyOwners> keys;

	private final Set<Observed> observations;

	private ViewState(long sequence, long configVersion, int instances, Map<String, TargetState> targets,
			Map<String, KeyOwners> keys, Set<Observed> observations) {
		this.sequence = sequence;
		this.configVersion = configVersion;
		this.instances = instances;
		this.targets = targets;
		this.keys = keys;
		this.observations = observations;
	}

	/**
	 * Creates a state.
	 * @param sequence the sequence number, greater than 0
	 * @param configVersion the version of the configuration in force
	 * @param instances the number of entry instances that share limits
	 * @param targets the targets
	 * @param keys the owned ranges by service
	 * @param observations the published observations
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the state
	 */
	public static ViewState of(long sequence, long configVersion, int instances, List<ViewTarget> targets,
			Map<String, List<ViewRange>> keys, Collection<Observed> observations, long nowMillis) {
		Map<String, TargetState> targetStates = new TreeMap<>();
		targets.forEach((target) -> targetStates.put(target.name(), TargetState.of(target, nowMillis)));
		Map<String, KeyOwners> owners = new TreeMap<>();
		keys.forEach((service, ranges) -> owners.put(service, KeyOwners.of(ranges)));
		return new ViewState(sequence, configVersion, instances, targetStates, owners, Set.copyOf(observations));
	}

	// Returns whether the end of a cold period has changed by more than it varies while
	// the period is the same.
	static boolean coldEndDiffers(long formerMillis, long nextMillis) {
		return nextMillis - formerMillis > LATER_END_TOLERANCE_MILLIS
				|| formerMillis - nextMillis > EARLIER_END_TOLERANCE_MILLIS;
	}

	/**
	 * Returns the sequence number of the state.
	 * @return the sequence number
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * Returns the version of the configuration in force.
	 * @return the version
	 */
	public long configVersion() {
		return this.configVersion;
	}

	/**
	 * Returns the view that updates an entry instance from an earlier state to this one.
	 * @param former the earlier state, {@link #EMPTY} for a full view
	 * @param term the leader's term
	 * @param document the configuration in force, if the entry instance lacks it
	 * @param now the monotonic time in nanoseconds
	 * @return the view
	 */
	public FleetView changesSince(ViewState former, long term, Optional<byte[]> document, long now) {
		List<ViewTarget> changed = this.targets.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().differs(former.targets.get(entry.getKey())))
			.map((entry) -> entry.getValue().target())
			.toList();
		List<String> removed = former.targets.keySet()
			.stream()
			.filter((name) -> !this.targets.containsKey(name))
			.toList();
		return new FleetView(term, this.sequence, former.sequence, this.configVersion, this.instances, document,
				changed, removed, changedKeys(former),
				newObservations(former).map((observed) -> observed.toSend(now)).toList());
	}

	/**
	 * Returns whether a view is needed to update an entry instance from another state to
	 * this one.
	 * @param other the other state
	 * @return whether the states differ in more than their sequence number
	 */
	public boolean differs(ViewState other) {
		return this.configVersion != other.configVersion || this.instances != other.instances
				|| !this.targets.keySet().equals(other.targets.keySet())
				|| this.targets.entrySet()
					.stream()
					.anyMatch((entry) -> entry.getValue().differs(other.targets.get(entry.getKey())))
				|| !changedKeys(other).isEmpty() || newObservations(other).findAny().isPresent();
	}

	// Expired observations aren't listed, since entry instances drop them themselves.
	private Stream<Observed> newObservations(ViewState former) {
		return this.observations.stream().filter((observed) -> !former.observations.contains(observed));
	}

	private Map<String, List<ViewRange>> changedKeys(ViewState former) {
		Map<String, List<ViewRange>> changes = new TreeMap<>();
		this.keys.forEach((service, owners) -> putIfNotEmpty(changes, service,
				owners.changesSince(former.keys.getOrDefault(service, KeyOwners.NONE))));
		former.keys.forEach((service, owners) -> {
			if (!this.keys.containsKey(service)) {
				putIfNotEmpty(changes, service, KeyOwners.NONE.changesSince(owners));
			}
		});
		return changes;
	}

	private static void putIfNotEmpty(Map<String, List<ViewRange>> changes, String service, List<ViewRange> ranges) {
		if (!ranges.isEmpty()) {
			changes.put(service, ranges);
		}
	}

	/**
	 * A target with the end of its cold period. Unlike the remaining time, the end
	 * doesn't change as time passes, so that states can be compared.
	 *
	 * @param target the target
	 * @param coldUntilMillis the monotonic time in milliseconds, 0 if the target is warm
	 */
	private record TargetState(ViewTarget target, long coldUntilMillis) {

		static TargetState of(ViewTarget target, long nowMillis) {
			return new TargetState(target, (target.coldLeftMillis() > 0) ? nowMillis + target.coldLeftMillis() : 0);
		}

		boolean differs(TargetState former) {
			return former == null || !withoutColdTime().equals(former.withoutColdTime())
					|| coldEndDiffers(former.coldUntilMillis, this.coldUntilMillis);
		}

		private ViewTarget withoutColdTime() {
			return new ViewTarget(this.target.name(), this.target.service(), this.target.address(),
					this.target.domain(), this.target.slots(), this.target.usable(), 0, this.target.born(),
					this.target.coldAssumed(), this.target.coldRecorded());
		}

	}

}

package org.redwingramp.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.observation.Observation;

/**
 * The routing state that the control leader sends to entry instances: configuration,
 * targets and key owners. A view is either full or contains the changes since an earlier
 * view. Immutable and thread safe.
 *
 * @param term the term of the leader that created the view
 * @param sequence the sequence number, which rises with each change within the term
 * @param base the sequence number of the view that this one is based on, 0 for a full
 * view
 * @param configVersion the version of the configuration in force
 * @param instances the number of entry instances that share limits
 * @param document the configuration, possibly compressed, if the entry instance lacks it
 * @param targets the targets that were added or changed
 * @param removedTargets the names of targets that were removed
 * @param keys the ranges whose owner changed, by service
 * @param observations observations of entry instances that are new or repeated
 */
public record FleetView(long term, long sequence, long base, long configVersion, int instances,
		Optional<byte[]> document, List<ViewTarget> targets, List<String> removedTargets,
		Map<String, List<ViewRange>> keys, List<Observation> observations) {

	/**
	 * Estimated encoded size of a target, for names as long as those of the platform in
	 * use, rounded up. The same holds for the sizes of a range and of the other fields.
	 */
	private static final int TARGET_BYTES = 160;

	private static final int RANGE_BYTES = 50;

	private static final int OTHER_FIELDS_BYTES = 120;

	public FleetView {
		targets = List.copyOf(targets);
		removedTargets = List.copyOf(removedTargets);
		keys = Map.copyOf(keys);
		observations = List.copyOf(observations);
	}

	/**
	 * Returns whether this is a full view, which replaces any earlier one.
	 * @return whether the view is full
	 */
	public boolean full() {
		return this.base == 0;
	}

	/**
	 * Returns the estimated encoded size of the view.
	 * @return the number of bytes
	 */
	public int estimatedBytes() {
		int ranges = this.keys.values().stream().mapToInt(List::size).sum();
		return OTHER_FIELDS_BYTES + this.document.map((bytes) -> bytes.length).orElse(0)
				+ TARGET_BYTES * (this.targets.size() + this.removedTargets.size()) + RANGE_BYTES * ranges
				+ Observation.ESTIMATED_BYTES * this.observations.size();
	}

	/**
	 * A target to which entry instances route requests.
	 *
	 * @param name the target's name
	 * @param service the name of the service
	 * @param address the address for requests, {@code ip:port}
	 * @param domain the failure domain
	 * @param slots the maximum number of requests that it processes concurrently
	 * @param usable whether new requests may be sent to it
	 * @param coldLeftMillis the remaining time for which the target is cold, in
	 * milliseconds, 0 if it is warm
	 * @param born identifies the incarnation of the target by its start time, 0 if it
	 * isn't known
	 * @param coldAssumed whether the leader assumes that the target is cold because it
	 * has received no heartbeat of it; an earlier leader may have stated the truth
	 * @param coldRecorded whether it assumes so because an earlier leader has recorded
	 * it, which outdates a statement that the target is warm
	 */
	public record ViewTarget(String name, String service, String address, String domain, int slots, boolean usable,
			long coldLeftMillis, long born, boolean coldAssumed, boolean coldRecorded) {

		/**
		 * Creates a target of which no earlier leader has recorded that it is cold.
		 * @param name the target's name
		 * @param service the name of the service
		 * @param address the address for requests, {@code ip:port}
		 * @param domain the failure domain
		 * @param slots the maximum number of requests that it processes concurrently
		 * @param usable whether new requests may be sent to it
		 * @param coldLeftMillis the remaining time for which the target is cold, in
		 * milliseconds, 0 if it is warm
		 * @param born identifies the incarnation of the target by its start time
		 * @param coldAssumed whether the leader assumes that the target is cold
		 */
		public ViewTarget(String name, String service, String address, String domain, int slots, boolean usable,
				long coldLeftMillis, long born, boolean coldAssumed) {
			this(name, service, address, domain, slots, usable, coldLeftMillis, born, coldAssumed, false);
		}

	}

	/**
	 * A range of keys with its owner.
	 *
	 * @param first the first key
	 * @param last the last key, inclusive
	 * @param owner the name of the target that serves the keys, empty while no target
	 * does
	 */
	public record ViewRange(int first, int last, String owner) {
	}

}

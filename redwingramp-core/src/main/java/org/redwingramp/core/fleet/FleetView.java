package org.redwingramp.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What an entry instance has to know, whole or as the changes since a former view.
 * Immutable and thread safe.
 *
 * @param term the term of the leader that made it
 * @param sequence rises with each change within the term
 * @param base the sequence of the view that it builds on, 0 if it is whole
 * @param configVersion the version of the configuration in force
 * @param instances the entry instances that share limits
 * @param document the configuration as the operator sent it, if it changed
 * @param targets the targets that are new or changed
 * @param removedTargets the names of targets that are gone
 * @param keys the ranges whose owner changed, by service
 */
public record FleetView(long term, long sequence, long base, long configVersion, int instances,
		Optional<byte[]> document, List<ViewTarget> targets, List<String> removedTargets,
		Map<String, List<ViewRange>> keys) {

	/**
	 * The bytes that a target, a range and the rest of a view take on a link, measured on
	 * names of the users' platform and rounded up.
	 */
	private static final int TARGET_BYTES = 160;

	private static final int RANGE_BYTES = 50;

	private static final int REST_BYTES = 120;

	public FleetView {
		targets = List.copyOf(targets);
		removedTargets = List.copyOf(removedTargets);
		keys = Map.copyOf(keys);
	}

	/**
	 * Returns whether it replaces all that was known before.
	 * @return whether it is whole
	 */
	public boolean whole() {
		return this.base == 0;
	}

	/**
	 * Returns about how many bytes it takes on a link.
	 * @return the number of bytes
	 */
	public int estimatedBytes() {
		int ranges = this.keys.values().stream().mapToInt(List::size).sum();
		return REST_BYTES + this.document.map((bytes) -> bytes.length).orElse(0)
				+ TARGET_BYTES * (this.targets.size() + this.removedTargets.size()) + RANGE_BYTES * ranges;
	}

	/**
	 * A target.
	 *
	 * @param name the target's name
	 * @param service the service
	 * @param address the address for requests, {@code ip:port}
	 * @param domain the failure domain
	 * @param slots the requests that it runs at once
	 * @param usable whether new requests may be sent
	 * @param coldLeftMillis how much longer it is cold
	 */
	public record ViewTarget(String name, String service, String address, String domain, int slots, boolean usable,
			long coldLeftMillis) {
	}

	/**
	 * A range of keys.
	 *
	 * @param first the first key
	 * @param last the last key, inclusive
	 * @param owner the target's name, empty while the keys change hands
	 */
	public record ViewRange(int first, int last, String owner) {
	}

}

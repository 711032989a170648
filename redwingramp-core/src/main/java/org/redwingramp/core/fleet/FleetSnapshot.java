package org.redwingramp.core.fleet;

import java.util.List;
import java.util.Map;

import org.redwingramp.core.ownership.OwnedRange;

/**
 * Snapshot of the complete {@link FleetState}. Immutable and thread safe.
 *
 * @param configVersion the version of the configuration in force, 0 for none
 * @param document the configuration as the operator sent it
 * @param acceptedDigests the digest of each accepted configuration by its version
 * @param domainsOut the failure domains that are out of service
 * @param targets the targets
 * @param keys the owned ranges by service
 * @param lastFence the highest fence assigned so far
 * @param withoutCalls the services of which no grant that was sent as a call can be
 * applied any more
 */
public record FleetSnapshot(long configVersion, byte[] document, Map<String, String> acceptedDigests,
		List<String> domainsOut, List<FleetTarget> targets, Map<String, List<OwnedRange>> keys, long lastFence,
		List<String> withoutCalls) {

	/** The snapshot of a new fleet. */
	public static final FleetSnapshot EMPTY = new FleetSnapshot(0, new byte[0], Map.of(), List.of(), List.of(),
			Map.of(), 0, List.of());

}

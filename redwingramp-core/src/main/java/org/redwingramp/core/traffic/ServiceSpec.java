package org.redwingramp.core.traffic;

/**
 * What the configuration says about a service. Immutable and thread safe.
 *
 * @param name the service's name
 * @param healthPath the path of the health check
 * @param maxConnections the connections that one target accepts from all callers
 * @param sharded whether each key is owned by one target
 * @param coldMillis how long a target is cold after its start
 * @param coldPerSecond the requests a second that a cold target bears
 * @param warmupMillis how long keys without a handover are slow at their new owner
 */
public record ServiceSpec(String name, String healthPath, int maxConnections, boolean sharded, long coldMillis,
		double coldPerSecond, long warmupMillis) {
}

package org.redwingramp.core.traffic;

/**
 * The configuration of a service. Immutable and thread safe.
 *
 * @param name the service's name
 * @param healthPath the path of the health check
 * @param maxConnections the number of connections that one target accepts in total
 * @param sharded whether each key of the service is owned by one target
 * @param coldMillis the time for which a target is cold after its start
 * @param coldPerSecond the requests per second that a cold target can serve
 * @param warmupMillis the time for which keys assigned without a handover are served
 * slowly by their new owner
 * @param grantMode how targets learn which keys they own; has no effect unless the
 * service is sharded
 */
public record ServiceSpec(String name, String healthPath, int maxConnections, boolean sharded, long coldMillis,
		double coldPerSecond, long warmupMillis, GrantMode grantMode) {
}

package org.redwingramp.node.entry;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of an entry instance. Immutable and thread safe.
 *
 * @param instance the name of the instance
 * @param domain the failure domain of the instance
 * @param listen the address on which caller connections are accepted
 * @param readiness the address on which readiness probes of the platform are answered
 * @param peerPort the port for links between the processes of the fleet, the same on all
 * of them
 * @param seeds the IP addresses of the control replicas to contact first
 * @param retryRatio the number of retries that each request adds to the retry budget
 * @param additionalRetries the number of retries allowed in addition to the ratio, summed
 * over all entry instances
 * @param graceNanos the time from the stop signal until the process must have ended, in
 * nanoseconds
 * @param drainNanos how long a target that leaves serves new requests, in nanoseconds
 */
public record EntrySettings(String instance, String domain, InetSocketAddress listen, InetSocketAddress readiness,
		int peerPort, List<String> seeds, double retryRatio, int additionalRetries, long graceNanos, long drainNanos) {

	public EntrySettings {
		seeds = List.copyOf(seeds);
	}

}

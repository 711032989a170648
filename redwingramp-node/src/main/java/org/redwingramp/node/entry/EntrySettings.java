package org.redwingramp.node.entry;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of an entry instance. Immutable and thread safe.
 *
 * @param instance the instance's name
 * @param domain its failure domain
 * @param listen where callers connect
 * @param readiness where the platform asks for readiness
 * @param peerPort the port for links between processes, the same on all instances
 * @param seeds the IP addresses of known control replicas
 * @param retryShare the repeated sends allowed for each request
 * @param retryMinimum the repeated sends allowed besides, of all entry instances together
 * @param graceNanos the time between the signal to stop and the end of the process
 */
public record EntrySettings(String instance, String domain, InetSocketAddress listen, InetSocketAddress readiness,
		int peerPort, List<String> seeds, double retryShare, int retryMinimum, long graceNanos) {

	public EntrySettings {
		seeds = List.copyOf(seeds);
	}

}

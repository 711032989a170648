package org.redwingramp.bench.target;

import java.util.List;

/**
 * The settings of a stand-in target. Immutable and thread safe.
 *
 * @param name the target's name
 * @param service the service that it serves
 * @param address the address to listen on
 * @param port the port to listen on
 * @param failureDomain its failure domain
 * @param slots the number of requests that it runs at once
 * @param connections the number of connections that it announces
 * @param entries the entry instances to announce itself to, as {@code ip:port}
 * @param token the targets' bearer token
 * @param workMillis the time that a request takes
 * @param checksFences whether it checks epochs, leases and fences
 */
public record TargetOptions(String name, String service, String address, int port, String failureDomain, int slots,
		int connections, List<String> entries, String token, long workMillis, boolean checksFences) {
}

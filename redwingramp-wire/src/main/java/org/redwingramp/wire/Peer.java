package org.redwingramp.wire;

/**
 * The authenticated other end of a connection. Immutable and thread safe.
 *
 * @param name the instance's name from its settings
 * @param incarnation the random number of its data folder or run
 * @param clusterId the cluster that it belongs to, empty if none yet
 * @param address its address as {@code ip:port}; the port is that of the connection
 */
public record Peer(String name, long incarnation, String clusterId, String address) {
}

package org.redwingramp.wire;

/**
 * The identity of an authenticated peer. Immutable and thread safe.
 *
 * @param name the instance's name from its settings
 * @param incarnation a random number that identifies its data folder or process run
 * @param clusterId the ID of the cluster that it belongs to, empty if none yet
 * @param address its address as {@code ip:port}; the port is the remote port of the
 * connection, for incoming ones not the port that the peer listens on
 */
public record Peer(String name, long incarnation, String clusterId, String address) {
}

package org.redwingramp.wire;

import java.util.function.Supplier;

/**
 * The identity with which this daemon authenticates itself to its peers. Thread safe if
 * the supplier is.
 *
 * @param name the instance's name from its settings
 * @param incarnation a random number that identifies its data folder or process run
 * @param clusterId returns the ID of the cluster that it belongs to, or an empty string
 * if none yet; peers of another cluster are refused
 * @param key the key shared by all daemons of the deployment
 */
public record LocalPeer(String name, long incarnation, Supplier<String> clusterId, SharedKey key) {
}

package org.redwingramp.wire;

import java.util.function.Supplier;

/**
 * How this daemon presents itself to others. Thread safe if the supplier is.
 *
 * @param name the instance's name from its settings
 * @param incarnation the random number of its data folder or run
 * @param clusterId returns the cluster that it belongs to, an empty string if none yet; a
 * peer of another cluster is refused
 * @param key the shared key
 */
public record LocalPeer(String name, long incarnation, Supplier<String> clusterId, SharedKey key) {
}

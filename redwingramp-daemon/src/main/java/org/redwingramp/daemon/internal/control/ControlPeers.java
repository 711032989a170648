package org.redwingramp.daemon.internal.control;

import java.util.List;
import java.util.Map;

/**
 * The names and addresses of the control replicas, as listed in the settings. Immutable
 * and thread safe.
 *
 * @param self the name of this instance, empty on an instance without the control role
 * @param addresses the internal address of each replica by name, as {@code ip:port}
 */
public record ControlPeers(String self, Map<String, String> addresses) {

	public ControlPeers {
		addresses = Map.copyOf(addresses);
	}

	/**
	 * Returns the names of the other replicas.
	 * @return the names in alphabetical order
	 */
	public List<String> others() {
		return this.addresses.keySet().stream().filter((name) -> !name.equals(this.self)).sorted().toList();
	}

}

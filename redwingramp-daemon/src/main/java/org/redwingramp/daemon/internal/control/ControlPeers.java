package org.redwingramp.daemon.internal.control;

import java.util.List;
import java.util.Map;

/**
 * The control replicas that the settings list. Immutable and thread safe.
 *
 * @param self the own name, empty on an instance without the control role
 * @param addresses the internal address by name, as {@code ip:port}
 */
public record ControlPeers(String self, Map<String, String> addresses) {

	public ControlPeers {
		addresses = Map.copyOf(addresses);
	}

	/**
	 * Returns the names of the other replicas.
	 * @return the names in order
	 */
	public List<String> others() {
		return this.addresses.keySet().stream().filter((name) -> !name.equals(this.self)).sorted().toList();
	}

}

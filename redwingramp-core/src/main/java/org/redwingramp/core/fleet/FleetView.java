package org.redwingramp.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What an entry instance has to know, with only the sections that changed. Immutable and
 * thread safe.
 *
 * @param term the term of the leader that made it
 * @param sequence rises with each change within the term
 * @param configVersion the version of the configuration in force
 * @param document the configuration as the operator sent it, if it changed
 * @param targets the targets, if they changed
 * @param keys the owners of keys by service, if they changed
 */
public record FleetView(long term, long sequence, long configVersion, Optional<byte[]> document,
		Optional<List<ViewTarget>> targets, Optional<Map<String, List<ViewRange>>> keys) {

	/**
	 * A target.
	 *
	 * @param name the target's name
	 * @param service the service
	 * @param address the address for requests, {@code ip:port}
	 * @param domain the failure domain
	 * @param slots the requests that it runs at once
	 * @param usable whether new requests may be sent
	 * @param coldLeftMillis how much longer it is cold
	 */
	public record ViewTarget(String name, String service, String address, String domain, int slots, boolean usable,
			long coldLeftMillis) {
	}

	/**
	 * A range of keys.
	 *
	 * @param first the first key
	 * @param last the last key, inclusive
	 * @param owner the target's name, empty while the keys change hands
	 */
	public record ViewRange(int first, int last, String owner) {
	}

}

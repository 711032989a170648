package org.redwingramp.core.model;

/**
 * Identifies a shard, the unit of ownership: a slice of the key space of a service, or a
 * single hot key that was split off from its slice. Immutable and thread safe.
 *
 * @param service the service's name
 * @param slice the index of the slice, from 0 to the number of slices of the service
 * minus 1
 * @param hotKey the key of a shard that consists of a single key, empty for a whole slice
 */
public record ShardId(String service, int slice, String hotKey) implements Comparable<ShardId> {

	/**
	 * Creates the identifier of a whole slice.
	 * @param service the service's name
	 * @param slice the slice's index
	 * @return the identifier
	 */
	public static ShardId slice(String service, int slice) {
		return new ShardId(service, slice, "");
	}

	/**
	 * Creates the identifier of the shard of a single hot key.
	 * @param service the service's name
	 * @param slice the index of the slice that the key hashes into
	 * @param key the key
	 * @return the identifier
	 */
	public static ShardId hotKey(String service, int slice, String key) {
		return new ShardId(service, slice, key);
	}

	/**
	 * Returns whether this shard consists of a single key.
	 * @return {@code true} for the shard of a hot key
	 */
	public boolean singleKey() {
		return !this.hotKey.isEmpty();
	}

	@Override
	public int compareTo(ShardId other) {
		int order = this.service.compareTo(other.service);
		if (order == 0) {
			order = Integer.compare(this.slice, other.slice);
		}
		return (order != 0) ? order : this.hotKey.compareTo(other.hotKey);
	}

	/**
	 * Returns the compact form used in headers and logs, for example
	 * {@code taller-svc/17} or {@code taller-svc/17/wok-4411}.
	 */
	@Override
	public String toString() {
		return this.service + "/" + this.slice + (singleKey() ? "/" + this.hotKey : "");
	}

}

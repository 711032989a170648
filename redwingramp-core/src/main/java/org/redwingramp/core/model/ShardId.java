package org.redwingramp.core.model;

/**
 * The unit of ownership: a slice of a service's key space, or a single hot key that was
 * split out of its slice. Immutable and thread safe.
 *
 * @param service the service's name
 * @param slice the slice's index, from 0 to the service's number of slices less one
 * @param hotKey the key of a shard that holds one key only, empty for a whole slice
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
	 * Creates the identifier of a single hot key's shard.
	 * @param service the service's name
	 * @param slice the index of the slice that the key hashes into
	 * @param key the key
	 * @return the identifier
	 */
	public static ShardId hotKey(String service, int slice, String key) {
		return new ShardId(service, slice, key);
	}

	/**
	 * Returns whether this shard holds a single key.
	 * @return {@code true} for a hot key's shard
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

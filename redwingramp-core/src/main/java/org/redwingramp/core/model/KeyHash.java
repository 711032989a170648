package org.redwingramp.core.model;

import java.nio.charset.StandardCharsets;

/**
 * Maps keys to slices by a stable hash. Stored state depends on the mapping, so it must
 * not change between versions. Stateless and thread safe.
 */
public final class KeyHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private KeyHash() {
	}

	/**
	 * Returns the 64-bit hash of a key: FNV-1a over its UTF-8 bytes, followed by the
	 * 64-bit finalizer of MurmurHash3, since FNV-1a alone distributes short keys unevenly
	 * over the low bits.
	 * @param key the key
	 * @return the hash
	 */
	public static long hash(String key) {
		long hash = FNV_OFFSET;
		for (byte b : key.getBytes(StandardCharsets.UTF_8)) {
			hash = (hash ^ (b & 0xff)) * FNV_PRIME;
		}
		hash ^= hash >>> 33;
		hash *= 0xff51afd7ed558ccdL;
		hash ^= hash >>> 33;
		hash *= 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

	/**
	 * Returns the slice that a key belongs to.
	 * @param key the key
	 * @param slices the number of slices of the service, at least 1
	 * @return the index of the slice
	 */
	public static int slice(String key, int slices) {
		return (int) Long.remainderUnsigned(hash(key), slices);
	}

}

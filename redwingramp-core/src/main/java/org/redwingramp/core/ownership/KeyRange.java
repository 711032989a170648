package org.redwingramp.core.ownership;

/**
 * A contiguous range of the key space of a service. Immutable and thread safe.
 *
 * @param first the first key
 * @param last the last key, inclusive
 */
public record KeyRange(int first, int last) {

	/** Number of keys in the key space of a service. */
	public static final int KEYS = 65_536;

	/** The whole key space. */
	public static final KeyRange ALL = new KeyRange(0, KEYS - 1);

	/**
	 * Returns whether the range isn't empty and lies in the key space.
	 * @return whether the range can be assigned
	 */
	public boolean valid() {
		return this.first >= 0 && this.first <= this.last && this.last < KEYS;
	}

	/**
	 * Returns whether the range contains a key.
	 * @param key the key
	 * @return whether the key is in the range
	 */
	public boolean contains(int key) {
		return key >= this.first && key <= this.last;
	}

	/**
	 * Returns whether this range and another have a key in common.
	 * @param other the other range
	 * @return whether they overlap
	 */
	public boolean overlaps(KeyRange other) {
		return this.first <= other.last && other.first <= this.last;
	}

	/**
	 * Returns the keys that this range and another have in common.
	 * @param other the other range, which must overlap with this one
	 * @return the range of the common keys
	 */
	public KeyRange intersection(KeyRange other) {
		return new KeyRange(Math.max(this.first, other.first), Math.min(this.last, other.last));
	}

	/**
	 * Returns the number of keys in the range.
	 * @return the number of keys
	 */
	public int size() {
		return this.last - this.first + 1;
	}

}

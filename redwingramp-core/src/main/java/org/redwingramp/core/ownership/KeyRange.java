package org.redwingramp.core.ownership;

/**
 * A range of keys. Immutable and thread safe.
 *
 * @param first the first key
 * @param last the last key, inclusive
 */
public record KeyRange(int first, int last) {

	/** The number of keys of a service. */
	public static final int KEYS = 65_536;

	/** All keys. */
	public static final KeyRange ALL = new KeyRange(0, KEYS - 1);

	/**
	 * Returns whether the range holds a key.
	 * @param key the key
	 * @return whether the key lies in the range
	 */
	public boolean contains(int key) {
		return key >= this.first && key <= this.last;
	}

	/**
	 * Returns whether two ranges share a key.
	 * @param other the other range
	 * @return whether they overlap
	 */
	public boolean overlaps(KeyRange other) {
		return this.first <= other.last && other.first <= this.last;
	}

	/**
	 * Returns the number of keys.
	 * @return the number of keys
	 */
	public int size() {
		return this.last - this.first + 1;
	}

}

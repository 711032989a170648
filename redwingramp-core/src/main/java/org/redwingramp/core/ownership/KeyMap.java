package org.redwingramp.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Maps the keys of one service to their owners by range. Invariant: ranges do not
 * overlap, so a key has at most one owner. Not thread safe.
 */
public final class KeyMap {

	private final TreeMap<Integer, OwnedRange> byFirstKey = new TreeMap<>();

	/**
	 * Creates a map with the given ranges.
	 * @param ranges the owned ranges, which must not overlap
	 */
	public KeyMap(List<OwnedRange> ranges) {
		ranges.forEach(this::assign);
	}

	/**
	 * Assigns a range to its owner. Previous owners keep their keys outside the range.
	 * @param range the range
	 */
	public void assign(OwnedRange range) {
		remove(range.keys());
		this.byFirstKey.put(range.keys().first(), range);
	}

	/**
	 * Removes the owners of a range of keys. They keep their keys outside the range.
	 * @param keys the range
	 */
	public void remove(KeyRange keys) {
		overlapping(keys).forEach((range) -> {
			this.byFirstKey.remove(range.keys().first());
			remainder(range, keys).forEach((part) -> this.byFirstKey.put(part.keys().first(), part));
		});
	}

	/**
	 * Finds the owned range that contains a key.
	 * @param key the key
	 * @return the range, or empty if the key has no owner
	 */
	public Optional<OwnedRange> find(int key) {
		return Optional.ofNullable(this.byFirstKey.floorEntry(key))
			.map(Map.Entry::getValue)
			.filter((range) -> range.keys().contains(key));
	}

	/**
	 * Returns all owned ranges in key order.
	 * @return the ranges
	 */
	public List<OwnedRange> ranges() {
		return List.copyOf(this.byFirstKey.values());
	}

	/**
	 * Returns the ranges of an owner.
	 * @param owner the owner
	 * @return its ranges in key order
	 */
	public List<OwnedRange> rangesOf(Owner owner) {
		return this.byFirstKey.values().stream().filter((range) -> range.owner().equals(owner)).toList();
	}

	/**
	 * Returns the ranges of keys without an owner.
	 * @return the ranges without an owner, in key order
	 */
	public List<KeyRange> gaps() {
		List<KeyRange> gaps = new ArrayList<>();
		int next = 0;
		for (OwnedRange range : this.byFirstKey.values()) {
			if (range.keys().first() > next) {
				gaps.add(new KeyRange(next, range.keys().first() - 1));
			}
			next = range.keys().last() + 1;
		}
		if (next < KeyRange.KEYS) {
			gaps.add(new KeyRange(next, KeyRange.KEYS - 1));
		}
		return gaps;
	}

	/**
	 * Returns the owned ranges that overlap the given range.
	 * @param keys the range
	 * @return the overlapping ranges in key order
	 */
	public List<OwnedRange> overlapping(KeyRange keys) {
		Integer from = Optional.ofNullable(this.byFirstKey.floorKey(keys.first())).orElse(keys.first());
		return this.byFirstKey.subMap(from, true, keys.last(), true)
			.values()
			.stream()
			.filter((range) -> range.keys().overlaps(keys))
			.toList();
	}

	// Returns the parts of a range before and after the removed keys.
	private static Stream<OwnedRange> remainder(OwnedRange range, KeyRange removed) {
		Stream.Builder<OwnedRange> parts = Stream.builder();
		if (range.keys().first() < removed.first()) {
			parts.add(range.with(new KeyRange(range.keys().first(), removed.first() - 1)));
		}
		if (range.keys().last() > removed.last()) {
			parts.add(range.with(new KeyRange(removed.last() + 1, range.keys().last())));
		}
		return parts.build();
	}

}

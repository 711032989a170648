package org.redwingramp.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The owned ranges of one service. Invariant: ranges don't overlap, so a key has at most
 * one owner. Not thread safe.
 */
public final class KeyMap {

	private final TreeMap<Integer, OwnedRange> byFirst = new TreeMap<>();

	/**
	 * Creates a map.
	 * @param ranges its ranges, which must not overlap
	 */
	public KeyMap(List<OwnedRange> ranges) {
		ranges.forEach(this::assign);
	}

	/**
	 * Gives a range to an owner. Former owners keep what lies outside it.
	 * @param range the range
	 */
	public void assign(OwnedRange range) {
		remove(range.keys());
		this.byFirst.put(range.keys().first(), range);
	}

	/**
	 * Takes a range from its owners.
	 * @param keys the range
	 */
	public void remove(KeyRange keys) {
		overlapping(keys).forEach((cut) -> {
			this.byFirst.remove(cut.keys().first());
			outside(cut, keys).forEach((part) -> this.byFirst.put(part.keys().first(), part));
		});
	}

	/**
	 * Finds the range that holds a key.
	 * @param key the key
	 * @return the range, or empty if the key has no owner
	 */
	public Optional<OwnedRange> find(int key) {
		return Optional.ofNullable(this.byFirst.floorEntry(key))
			.map(Map.Entry::getValue)
			.filter((range) -> range.keys().contains(key));
	}

	/**
	 * Returns all ranges in the order of their keys.
	 * @return the ranges
	 */
	public List<OwnedRange> ranges() {
		return List.copyOf(this.byFirst.values());
	}

	/**
	 * Returns the ranges of an owner.
	 * @param owner the owner
	 * @return its ranges in the order of their keys
	 */
	public List<OwnedRange> rangesOf(Owner owner) {
		return this.byFirst.values().stream().filter((range) -> range.owner().equals(owner)).toList();
	}

	/**
	 * Returns the keys without an owner.
	 * @return the ranges between the owned ones
	 */
	public List<KeyRange> gaps() {
		List<KeyRange> gaps = new ArrayList<>();
		int next = 0;
		for (OwnedRange range : this.byFirst.values()) {
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
	 * Returns the ranges that share a key with the given one.
	 * @param keys the range
	 * @return the overlapping ranges in order
	 */
	public List<OwnedRange> overlapping(KeyRange keys) {
		Integer from = Optional.ofNullable(this.byFirst.floorKey(keys.first())).orElse(keys.first());
		return this.byFirst.subMap(from, true, keys.last(), true)
			.values()
			.stream()
			.filter((range) -> range.keys().overlaps(keys))
			.toList();
	}

	private static Stream<OwnedRange> outside(OwnedRange range, KeyRange cut) {
		Stream.Builder<OwnedRange> parts = Stream.builder();
		if (range.keys().first() < cut.first()) {
			parts.add(range.with(new KeyRange(range.keys().first(), cut.first() - 1)));
		}
		if (range.keys().last() > cut.last()) {
			parts.add(range.with(new KeyRange(cut.last() + 1, range.keys().last())));
		}
		return parts.build();
	}

}

package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.ownership.KeyRange;

/**
 * The owners of a service's keys as entry instances see them. Invariants: each key lies
 * in exactly one range, that of an empty owner while nobody serves it; neighbouring
 * ranges have different owners. Immutable and thread safe.
 */
public final class KeyOwners {

	/** No key has an owner. */
	public static final KeyOwners NONE = new KeyOwners(new TreeMap<>(Map.of(0, "")));

	/** The owner of the keys from each first key up to the next one. */
	private final TreeMap<Integer, String> byFirst;

	private KeyOwners(TreeMap<Integer, String> byFirst) {
		this.byFirst = byFirst;
	}

	/**
	 * Creates the owners of a service's keys.
	 * @param ranges ranges that don't overlap; keys outside them have no owner
	 * @return the owners
	 */
	public static KeyOwners of(List<ViewRange> ranges) {
		return NONE.with(ranges);
	}

	/**
	 * Returns the owner of a key.
	 * @param key the key
	 * @return the target's name, empty while nobody serves the key
	 */
	public String owner(int key) {
		return this.byFirst.floorEntry(key).getValue();
	}

	/**
	 * Returns these owners with some changes.
	 * @param changes the ranges whose owner changed, which don't overlap
	 * @return the owners
	 */
	public KeyOwners with(List<ViewRange> changes) {
		TreeMap<Integer, String> next = new TreeMap<>(this.byFirst);
		changes.forEach((change) -> assign(next, change));
		return new KeyOwners(next);
	}

	/**
	 * Returns what has to change in former owners to make them these.
	 * @param former the former owners
	 * @return the ranges whose owner differs, with their owners now
	 */
	public List<ViewRange> changesSince(KeyOwners former) {
		List<ViewRange> changes = new ArrayList<>();
		int first = 0;
		while (first < KeyRange.KEYS) {
			int last = Math.min(end(this.byFirst, first), end(former.byFirst, first));
			String owner = owner(first);
			if (!owner.equals(former.owner(first))) {
				add(changes, new ViewRange(first, last, owner));
			}
			first = last + 1;
		}
		return changes;
	}

	/**
	 * Returns the ranges that have an owner.
	 * @return the ranges in the order of their keys
	 */
	public List<ViewRange> ranges() {
		return this.byFirst.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().isEmpty())
			.map((entry) -> new ViewRange(entry.getKey(), end(this.byFirst, entry.getKey()), entry.getValue()))
			.toList();
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof KeyOwners owners && owners.byFirst.equals(this.byFirst);
	}

	@Override
	public int hashCode() {
		return this.byFirst.hashCode();
	}

	private static void assign(TreeMap<Integer, String> owners, ViewRange range) {
		int after = range.last() + 1;
		String rest = owners.floorEntry(range.last()).getValue();
		owners.subMap(range.first(), true, range.last(), true).clear();
		put(owners, range.first(), range.owner());
		if (after < KeyRange.KEYS) {
			put(owners, after, owners.getOrDefault(after, rest));
		}
	}

	// Keeps neighbouring ranges of one owner in one.
	private static void put(TreeMap<Integer, String> owners, int first, String owner) {
		Map.Entry<Integer, String> before = owners.lowerEntry(first);
		if (before != null && before.getValue().equals(owner)) {
			owners.remove(first);
		}
		else {
			owners.put(first, owner);
		}
	}

	private static int end(TreeMap<Integer, String> owners, int key) {
		Integer next = owners.higherKey(key);
		return (next != null) ? next - 1 : KeyRange.KEYS - 1;
	}

	private static void add(List<ViewRange> changes, ViewRange range) {
		int last = changes.size() - 1;
		if (last >= 0 && changes.get(last).last() + 1 == range.first()
				&& changes.get(last).owner().equals(range.owner())) {
			changes.set(last, new ViewRange(changes.get(last).first(), range.last(), range.owner()));
		}
		else {
			changes.add(range);
		}
	}

}

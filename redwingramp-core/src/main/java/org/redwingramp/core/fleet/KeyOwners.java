package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.ownership.KeyRange;

/**
 * Map from the keys of a service to their owners, as entry instances use it for routing.
 * Invariants: each key lies in exactly one range, whose owner is empty while no target
 * serves the key; adjacent ranges have different owners. Immutable and thread safe.
 */
public final class KeyOwners {

	/** A map in which no key has an owner. */
	public static final KeyOwners NONE = new KeyOwners(new TreeMap<>(Map.of(0, "")));

	/** The owner of each range by the first key of the range. */
	private final TreeMap<Integer, String> ownerByFirstKey;

	private KeyOwners(TreeMap<Integer, String> ownerByFirstKey) {
		this.ownerByFirstKey = ownerByFirstKey;
	}

	/**
	 * Creates the map from ranges with owners.
	 * @param ranges ranges that don't overlap; keys outside them have no owner
	 * @return the map
	 * @throws IllegalArgumentException if a range contains other keys than those of a
	 * service, or none, or has no owner
	 */
	public static KeyOwners of(List<ViewRange> ranges) {
		return NONE.with(ranges);
	}

	/**
	 * Returns the owner of a key.
	 * @param key the key
	 * @return the target's name, empty while no target serves the key
	 */
	public String owner(int key) {
		return this.ownerByFirstKey.floorEntry(key).getValue();
	}

	/**
	 * Returns a copy of this map with changed owners.
	 * @param changes the ranges whose owner changed, which don't overlap
	 * @return the copy
	 * @throws IllegalArgumentException if a range contains other keys than those of a
	 * service, or none, or has no owner
	 */
	public KeyOwners with(List<ViewRange> changes) {
		TreeMap<Integer, String> next = new TreeMap<>(this.ownerByFirstKey);
		changes.forEach((change) -> assign(next, change));
		return new KeyOwners(next);
	}

	/**
	 * Returns the changes that turn an earlier map into this one.
	 * @param former the earlier map
	 * @return the ranges whose owner differs, with their owners in this map
	 */
	public List<ViewRange> changesSince(KeyOwners former) {
		List<ViewRange> changes = new ArrayList<>();
		int first = 0;
		while (first < KeyRange.KEYS) {
			int last = Math.min(lastKeyOfRange(this.ownerByFirstKey, first),
					lastKeyOfRange(former.ownerByFirstKey, first));
			String owner = owner(first);
			if (!owner.equals(former.owner(first))) {
				addMerged(changes, new ViewRange(first, last, owner));
			}
			first = last + 1;
		}
		return changes;
	}

	/**
	 * Returns the ranges that have an owner.
	 * @return the ranges, ordered by key
	 */
	public List<ViewRange> ranges() {
		return this.ownerByFirstKey.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().isEmpty())
			.map((entry) -> new ViewRange(entry.getKey(), lastKeyOfRange(this.ownerByFirstKey, entry.getKey()),
					entry.getValue()))
			.toList();
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof KeyOwners owners && owners.ownerByFirstKey.equals(this.ownerByFirstKey);
	}

	@Override
	public int hashCode() {
		return this.ownerByFirstKey.hashCode();
	}

	private static void assign(TreeMap<Integer, String> owners, ViewRange range) {
		if (!new KeyRange(range.first(), range.last()).valid() || range.owner() == null) {
			throw new IllegalArgumentException(range + " isn't an owned range of the keys 0 to " + (KeyRange.KEYS - 1));
		}
		int next = range.last() + 1;
		String ownerOfNext = owners.floorEntry(range.last()).getValue();
		owners.subMap(range.first(), true, range.last(), true).clear();
		put(owners, range.first(), range.owner());
		if (next < KeyRange.KEYS) {
			put(owners, next, owners.getOrDefault(next, ownerOfNext));
		}
	}

	// Adds a range, or merges it into the preceding one if both have the same owner.
	private static void put(TreeMap<Integer, String> owners, int first, String owner) {
		Map.Entry<Integer, String> before = owners.lowerEntry(first);
		if (before != null && before.getValue().equals(owner)) {
			owners.remove(first);
		}
		else {
			owners.put(first, owner);
		}
	}

	private static int lastKeyOfRange(TreeMap<Integer, String> owners, int key) {
		Integer next = owners.higherKey(key);
		return (next != null) ? next - 1 : KeyRange.KEYS - 1;
	}

	private static void addMerged(List<ViewRange> changes, ViewRange range) {
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

package org.redwingramp.core.placement.internal;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

import org.redwingramp.core.placement.PlacementPolicy.PlacedShard;

/**
 * A target in a plan in progress: the shards that are planned onto it and their load. Not
 * thread safe.
 */
final class Bin {

	private static final Comparator<PlacedShard> BY_LOAD = Comparator.comparingDouble(PlacedShard::load)
		.thenComparing(PlacedShard::id);

	private final String name;

	private final double weight;

	private final TreeSet<PlacedShard> movable = new TreeSet<>(BY_LOAD);

	private double load;

	// Whether no move of a shard away from this target would reduce the imbalance.
	private boolean unimprovable;

	Bin(String name, double weight) {
		this.name = name;
		this.weight = weight;
	}

	String name() {
		return this.name;
	}

	double weight() {
		return this.weight;
	}

	double load() {
		return this.load;
	}

	double relativeLoad() {
		return this.load / this.weight;
	}

	double relativeLoadWith(double additionalLoad) {
		return (this.load + additionalLoad) / this.weight;
	}

	boolean unimprovable() {
		return this.unimprovable;
	}

	void markUnimprovable() {
		this.unimprovable = true;
	}

	void addPinned(PlacedShard shard) {
		this.load += shard.load();
	}

	void add(PlacedShard shard) {
		this.movable.add(shard);
		this.load += shard.load();
	}

	void remove(PlacedShard shard) {
		this.movable.remove(shard);
		this.load -= shard.load();
	}

	// Returns the shard with the lowest load that removes the excess by itself. If there
	// is none, or its load exceeds the maximum, returns the shard with the highest load
	// that does not exceed the maximum.
	Optional<PlacedShard> selectShard(double excess, double maxLoad) {
		PlacedShard sufficient = this.movable.stream()
			.filter((shard) -> shard.load() >= excess)
			.findFirst()
			.orElse(null);
		if (sufficient != null && sufficient.load() <= maxLoad) {
			return Optional.of(sufficient);
		}
		return this.movable.descendingSet().stream().filter((shard) -> shard.load() <= maxLoad).findFirst();
	}

}

package org.redwingramp.core.placement.internal;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

import org.redwingramp.core.placement.PlacementPolicy.PlacedShard;

/**
 * A target while a plan is made. Not thread safe.
 */
final class Bin {

	private static final Comparator<PlacedShard> BY_LOAD = Comparator.comparingDouble(PlacedShard::load)
		.thenComparing(PlacedShard::id);

	private final String name;

	private final double weight;

	private final TreeSet<PlacedShard> movable = new TreeSet<>(BY_LOAD);

	private double load;

	private boolean stuck;

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

	double level() {
		return this.load / this.weight;
	}

	double levelWith(double more) {
		return (this.load + more) / this.weight;
	}

	boolean stuck() {
		return this.stuck;
	}

	void markStuck() {
		this.stuck = true;
	}

	void addFixed(PlacedShard shard) {
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

	// The lightest shard that is enough by itself, or else the heaviest that fits.
	Optional<PlacedShard> pick(double needed, double room) {
		PlacedShard enough = this.movable.stream().filter((shard) -> shard.load() >= needed).findFirst().orElse(null);
		if (enough != null && enough.load() <= room) {
			return Optional.of(enough);
		}
		return this.movable.descendingSet().stream().filter((shard) -> shard.load() <= room).findFirst();
	}

}

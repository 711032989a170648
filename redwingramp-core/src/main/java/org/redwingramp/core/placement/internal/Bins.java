package org.redwingramp.core.placement.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.redwingramp.core.placement.PlacementPolicy.TargetCapacity;

/**
 * The targets that accept shards in a plan in progress. Not thread safe.
 */
final class Bins {

	private final Map<String, Bin> bins = new TreeMap<>();

	private Bins() {
	}

	static Bins of(List<TargetCapacity> targets) {
		Bins result = new Bins();
		targets.stream()
			.filter((target) -> target.acceptsShards() && target.weight() > 0)
			.forEach((target) -> result.bins.put(target.name(), new Bin(target.name(), target.weight())));
		return result;
	}

	boolean empty() {
		return this.bins.isEmpty();
	}

	Optional<Bin> find(String name) {
		return Optional.ofNullable(this.bins.get(name));
	}

	Bin leastLoaded(double additionalLoad) {
		return all().stream()
			.min(Comparator.comparingDouble((Bin bin) -> bin.relativeLoadWith(additionalLoad)))
			.orElseThrow();
	}

	Optional<Bin> mostLoadedImprovable() {
		return all().stream().filter((bin) -> !bin.unimprovable()).max(Comparator.comparingDouble(Bin::relativeLoad));
	}

	double meanRelativeLoad() {
		return all().stream().mapToDouble(Bin::load).sum() / all().stream().mapToDouble(Bin::weight).sum();
	}

	private Collection<Bin> all() {
		return this.bins.values();
	}

}

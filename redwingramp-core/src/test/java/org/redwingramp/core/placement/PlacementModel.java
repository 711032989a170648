package org.redwingramp.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.placement.PlacementPolicy.Move;
import org.redwingramp.core.placement.PlacementPolicy.PlacedShard;
import org.redwingramp.core.placement.PlacementPolicy.TargetCapacity;

/**
 * Shards with loads on targets, to which plans are applied until they are empty. Not
 * thread safe.
 */
final class PlacementModel {

	private static final int KEYS = 100_000;

	/** The part of a target's mean load above which a key has a shard of its own. */
	private static final double SPLIT_SHARE = 0.25;

	private final PlacementPolicy policy;

	private final int slices;

	private final int targets;

	private final Map<ShardId, Double> loads = new HashMap<>();

	final Map<ShardId, String> owners = new HashMap<>();

	PlacementModel(PlacementPolicy policy, int slices, int targets) {
		this.policy = policy;
		this.slices = slices;
		this.targets = targets;
	}

	void uniform(long seed) {
		Random random = new Random(seed);
		IntStream.range(0, this.slices)
			.forEach((slice) -> this.loads.put(ShardId.slice("svc", slice), 90 + 20 * random.nextDouble()));
	}

	/**
	 * Sets loads by Zipf's law over keys in an order that depends on the seed, with the
	 * hottest keys split out. Shards of keys that are no longer hot are merged.
	 * @param exponent the exponent
	 * @param seed the seed
	 */
	void zipf(double exponent, long seed) {
		double[] weights = IntStream.rangeClosed(1, KEYS).mapToDouble((rank) -> 1 / Math.pow(rank, exponent)).toArray();
		double mean = Arrays.stream(weights).sum() / this.targets;
		Map<ShardId, Double> next = new HashMap<>();
		IntStream.range(0, this.slices).forEach((slice) -> next.put(ShardId.slice("svc", slice), 0.001 * mean));
		for (int rank = 0; rank < KEYS; rank++) {
			String key = "key-" + rank + "-" + seed;
			int slice = KeyHash.slice(key, this.slices);
			ShardId id = (weights[rank] > SPLIT_SHARE * mean) ? ShardId.hotKey("svc", slice, key)
					: ShardId.slice("svc", slice);
			next.merge(id, weights[rank], Double::sum);
		}
		next.keySet()
			.stream()
			.filter(ShardId::singleKey)
			.forEach((id) -> this.owners.computeIfAbsent(id,
					(key) -> this.owners.getOrDefault(ShardId.slice("svc", key.slice()), "")));
		this.owners.keySet().retainAll(next.keySet());
		this.loads.clear();
		this.loads.putAll(next);
	}

	static List<TargetCapacity> capacities(int from, int to) {
		return IntStream.range(from, to)
			.mapToObj((i) -> new TargetCapacity(String.format("t%03d", i), "d" + i % 4, true, 1))
			.toList();
	}

	int settle(List<TargetCapacity> capacities, int budget) {
		int moves = 0;
		for (int round = 0; round < 1_000; round++) {
			List<Move> plan = this.policy.plan(placed(), capacities, budget);
			if (plan.isEmpty()) {
				return moves;
			}
			plan.forEach((move) -> this.owners.put(move.shard(), move.destination()));
			moves += plan.size();
		}
		throw new AssertionError("the plan isn't empty after 1,000 rounds");
	}

	List<PlacedShard> placed() {
		return this.loads.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.map((shard) -> new PlacedShard(shard.getKey(), this.owners.getOrDefault(shard.getKey(), ""),
					shard.getValue(), ""))
			.toList();
	}

	private double load(String target) {
		return this.owners.entrySet()
			.stream()
			.filter((shard) -> shard.getValue().equals(target))
			.mapToDouble((shard) -> this.loads.get(shard.getKey()))
			.sum();
	}

	private double mean(List<TargetCapacity> capacities) {
		return this.loads.values().stream().mapToDouble(Double::doubleValue).sum() / capacities.size();
	}

	double imbalance(List<TargetCapacity> capacities) {
		return capacities.stream().mapToDouble((target) -> load(target.name())).max().orElseThrow() / mean(capacities);
	}

	/**
	 * Returns how many moves no plan can do without: all shards without a usable owner,
	 * and from each overloaded target its heaviest shards until it is within the bound.
	 * @param capacities the targets
	 * @return the number of moves
	 */
	int lowerBound(List<TargetCapacity> capacities) {
		List<String> names = capacities.stream().map(TargetCapacity::name).toList();
		int moves = (int) placed().stream().filter((shard) -> !names.contains(shard.owner())).count();
		for (String name : names) {
			double excess = load(name) - 1.10 * mean(capacities);
			List<PlacedShard> own = new ArrayList<>(
					placed().stream().filter((shard) -> shard.owner().equals(name)).toList());
			own.sort(Comparator.comparingDouble(PlacedShard::load).reversed());
			for (int i = 0; excess > 0 && i < own.size(); i++) {
				excess -= own.get(i).load();
				moves++;
			}
		}
		return moves;
	}

}

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
 * A simulated service: shards with loads, their owners, and a placement policy whose
 * plans are applied until a plan has no moves. Not thread safe.
 */
final class PlacementModel {

	private static final int KEY_COUNT = 100_000;

	/**
	 * The fraction of the mean load of a target above which a key has a separate shard.
	 */
	private static final double HOT_KEY_LOAD_FRACTION = 0.25;

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

	void setUniformLoads(long seed) {
		Random random = new Random(seed);
		IntStream.range(0, this.slices)
			.forEach((slice) -> this.loads.put(ShardId.slice("svc", slice), 90 + 20 * random.nextDouble()));
	}

	/**
	 * Distributes loads to keys by Zipf's law. The seed determines which slices the keys
	 * belong to. Hot keys get a separate shard, which starts at the owner of the key's
	 * slice; shards of keys that are no longer hot are merged into their slices.
	 * @param exponent the exponent of Zipf's law
	 * @param seed determines the slices of the keys
	 */
	void setZipfLoads(double exponent, long seed) {
		double[] weights = IntStream.rangeClosed(1, KEY_COUNT)
			.mapToDouble((rank) -> 1 / Math.pow(rank, exponent))
			.toArray();
		double mean = Arrays.stream(weights).sum() / this.targets;
		Map<ShardId, Double> next = new HashMap<>();
		IntStream.range(0, this.slices).forEach((slice) -> next.put(ShardId.slice("svc", slice), 0.001 * mean));
		for (int rank = 0; rank < KEY_COUNT; rank++) {
			String key = "key-" + rank + "-" + seed;
			int slice = KeyHash.slice(key, this.slices);
			ShardId id = (weights[rank] > HOT_KEY_LOAD_FRACTION * mean) ? ShardId.hotKey("svc", slice, key)
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

	int applyUntilStable(List<TargetCapacity> capacities, int budget) {
		int moves = 0;
		for (int round = 0; round < 1_000; round++) {
			List<Move> plan = this.policy.plan(placedShards(), capacities, budget);
			if (plan.isEmpty()) {
				return moves;
			}
			plan.forEach((move) -> this.owners.put(move.shard(), move.destination()));
			moves += plan.size();
		}
		throw new AssertionError("the policy still plans moves after 1,000 rounds");
	}

	List<PlacedShard> placedShards() {
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

	private double meanLoad(List<TargetCapacity> capacities) {
		return this.loads.values().stream().mapToDouble(Double::doubleValue).sum() / capacities.size();
	}

	double imbalance(List<TargetCapacity> capacities) {
		return capacities.stream().mapToDouble((target) -> load(target.name())).max().orElseThrow()
				/ meanLoad(capacities);
	}

	/**
	 * Returns a lower bound of the number of moves that any plan requires: all shards
	 * without a usable owner, and from each overloaded target its shards with the highest
	 * load until the target is within the bound.
	 * @param capacities the targets
	 * @return the minimum number of moves
	 */
	int minimumMoves(List<TargetCapacity> capacities) {
		List<String> names = capacities.stream().map(TargetCapacity::name).toList();
		int moves = (int) placedShards().stream().filter((shard) -> !names.contains(shard.owner())).count();
		for (String name : names) {
			double excessLoad = load(name) - 1.10 * meanLoad(capacities);
			List<PlacedShard> ownedShards = new ArrayList<>(
					placedShards().stream().filter((shard) -> shard.owner().equals(name)).toList());
			ownedShards.sort(Comparator.comparingDouble(PlacedShard::load).reversed());
			for (int i = 0; excessLoad > 0 && i < ownedShards.size(); i++) {
				excessLoad -= ownedShards.get(i).load();
				moves++;
			}
		}
		return moves;
	}

}

package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.placement.PlacementPolicy;
import org.redwingramp.core.placement.PlacementPolicy.PlacedShard;
import org.redwingramp.core.placement.PlacementPolicy.TargetCapacity;

/**
 * Keys with skewed loads (a power law) and the targets that own them under a policy. A
 * round is one second of the controller. Not thread safe.
 */
final class PlacedKeys {

	/** The number of keys. */
	static final int KEYS = 20_000;

	/** With this exponent the hottest key has about 3% of the load. */
	private static final double SKEW = 0.8;

	private static final int HOT_KEYS = 50;

	/** The controller splits keys above this part of a target's mean load. */
	private static final double SPLIT_SHARE = 0.25;

	/** The share of its weight that a returned target gains each second. */
	private static final double RETURN_STEP = 0.1;

	private static final double TOTAL = IntStream.rangeClosed(1, KEYS)
		.mapToDouble((rank) -> Math.pow(rank, -SKEW))
		.sum();

	private final double[] loads = new double[KEYS];

	private final String[] keyOwners = new String[KEYS];

	private final Map<ShardId, String> owners = new TreeMap<>();

	private final PlacementPolicy policy;

	private final int budget;

	private final boolean split;

	private final RandomGenerator random;

	private final double[] weights;

	private Set<Integer> out = Set.of();

	private String[] marked;

	private double concerned;

	PlacedKeys(PlacementPolicy policy, int budget, boolean split, int targets, RandomGenerator random) {
		this.policy = policy;
		this.budget = budget;
		this.split = split;
		this.random = random;
		this.weights = new double[targets];
		Arrays.fill(this.weights, 1);
		IntStream.range(0, KEYS).forEach((key) -> this.loads[key] = Math.pow(key + 1, -SKEW));
		shuffle(KEYS);
		this.marked = this.keyOwners.clone();
	}

	/** Exchanges the loads of the hottest keys with those of random ones. */
	void changeHotKeys() {
		shuffle(HOT_KEYS);
	}

	private void shuffle(int count) {
		int[] hottest = IntStream.range(0, KEYS)
			.boxed()
			.sorted((first, second) -> Double.compare(this.loads[second], this.loads[first]))
			.limit(count)
			.mapToInt(Integer::intValue)
			.toArray();
		for (int key : hottest) {
			int other = this.random.nextInt(KEYS);
			double load = this.loads[key];
			this.loads[key] = this.loads[other];
			this.loads[other] = load;
		}
	}

	void out(Set<Integer> targets) {
		double leaving = ownedShare(targets);
		targets.forEach((target) -> this.weights[target] = 0);
		long back = this.out.stream().filter((target) -> !targets.contains(target)).count();
		this.concerned = leaving + (double) back / this.weights.length;
		this.out = targets;
	}

	void settle(int rounds) {
		for (int round = 0; round < rounds; round++) {
			for (int target = 0; target < this.weights.length; target++) {
				if (!this.out.contains(target)) {
					this.weights[target] = Math.min(1, this.weights[target] + RETURN_STEP);
				}
			}
			round();
		}
	}

	private void round() {
		Map<ShardId, Double> shardLoads = shardLoads();
		this.owners.keySet().retainAll(shardLoads.keySet());
		List<PlacedShard> shards = new ArrayList<>();
		shardLoads.forEach((id, load) -> shards.add(new PlacedShard(id, owner(id), load, "")));
		List<TargetCapacity> targets = IntStream.range(0, this.weights.length)
			.mapToObj((target) -> new TargetCapacity(Integer.toString(target), "", !this.out.contains(target),
					this.weights[target]))
			.toList();
		this.policy.plan(shards, targets, this.budget)
			.forEach((move) -> this.owners.put(move.shard(), move.destination()));
		for (int key = 0; key < KEYS; key++) {
			this.keyOwners[key] = owner(shard(key));
		}
	}

	private String owner(ShardId id) {
		// A key that is split out stays with its slice's owner until it is moved.
		return this.owners.getOrDefault(id, this.owners.getOrDefault(slice(id), ""));
	}

	private Map<ShardId, Double> shardLoads() {
		Map<ShardId, Double> sums = new TreeMap<>();
		IntStream.range(0, ShardMap.SLICES).forEach((slice) -> sums.put(ShardId.slice("s", slice), 0.0));
		IntStream.range(0, KEYS).forEach((key) -> sums.merge(shard(key), this.loads[key], Double::sum));
		return sums;
	}

	private ShardId shard(int key) {
		String name = "k" + key;
		int slice = KeyHash.slice(name, ShardMap.SLICES);
		boolean hot = this.split && this.loads[key] > SPLIT_SHARE * TOTAL / this.weights.length;
		return (hot) ? ShardId.hotKey("s", slice, name) : ShardId.slice("s", slice);
	}

	private static ShardId slice(ShardId id) {
		return ShardId.slice(id.service(), id.slice());
	}

	double imbalance() {
		Map<String, Double> sums = new HashMap<>();
		IntStream.range(0, KEYS).forEach((key) -> sums.merge(this.keyOwners[key], this.loads[key], Double::sum));
		double most = sums.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
		return most * (this.weights.length - this.out.size()) / TOTAL;
	}

	private double ownedShare(Set<Integer> targets) {
		return Arrays.stream(this.keyOwners)
			.filter((owner) -> owner != null && targets.contains(Integer.parseInt(owner)))
			.count() / (double) KEYS;
	}

	/** Starts to count the churn anew. */
	void mark() {
		this.marked = this.keyOwners.clone();
		this.concerned = 0;
	}

	double churn() {
		return IntStream.range(0, KEYS)
			.filter((key) -> this.marked[key] != null && !this.marked[key].equals(this.keyOwners[key]))
			.count() / (double) KEYS;
	}

	/**
	 * Returns the share of the keys that the event itself concerns.
	 * @return the keys of targets that left, and an even share for each that returned
	 */
	double concerned() {
		return this.concerned;
	}

}

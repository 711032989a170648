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
 * Keys whose loads follow a power law, and the targets that a placement policy assigns
 * them to. A round is one planning second of the controller. Not thread safe.
 */
final class PlacedKeys {

	/** The number of keys. */
	static final int KEYS = 20_000;

	/** The exponent of the power law. The hottest key has about 3% of the load. */
	private static final double SKEW_EXPONENT = 0.8;

	private static final int HOT_KEY_COUNT = 50;

	/** The controller splits hot keys above this share of a target's mean load. */
	private static final double SPLIT_SHARE = 0.25;

	/** The weight that a returned target gains each second. */
	private static final double RETURN_WEIGHT_STEP = 0.1;

	private static final double TOTAL_LOAD = IntStream.rangeClosed(1, KEYS)
		.mapToDouble((rank) -> Math.pow(rank, -SKEW_EXPONENT))
		.sum();

	private final double[] loads = new double[KEYS];

	private final String[] keyOwners = new String[KEYS];

	private final Map<ShardId, String> owners = new TreeMap<>();

	private final PlacementPolicy policy;

	private final int budget;

	private final boolean splitHotKeys;

	private final RandomGenerator random;

	private final double[] weights;

	private Set<Integer> outOfService = Set.of();

	private String[] churnBaseline;

	private double affectedShare;

	PlacedKeys(PlacementPolicy policy, int budget, boolean splitHotKeys, int targets, RandomGenerator random) {
		this.policy = policy;
		this.budget = budget;
		this.splitHotKeys = splitHotKeys;
		this.random = random;
		this.weights = new double[targets];
		Arrays.fill(this.weights, 1);
		IntStream.range(0, KEYS).forEach((key) -> this.loads[key] = Math.pow(key + 1, -SKEW_EXPONENT));
		exchangeLoads(KEYS);
		this.churnBaseline = this.keyOwners.clone();
	}

	/** Exchanges the loads of the hottest keys with those of random keys. */
	void changeHotKeys() {
		exchangeLoads(HOT_KEY_COUNT);
	}

	private void exchangeLoads(int count) {
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

	void takeOutOfService(Set<Integer> targets) {
		double leavingShare = ownedShare(targets);
		targets.forEach((target) -> this.weights[target] = 0);
		long returned = this.outOfService.stream().filter((target) -> !targets.contains(target)).count();
		this.affectedShare = leavingShare + (double) returned / this.weights.length;
		this.outOfService = targets;
	}

	void runRounds(int rounds) {
		for (int round = 0; round < rounds; round++) {
			for (int target = 0; target < this.weights.length; target++) {
				if (!this.outOfService.contains(target)) {
					this.weights[target] = Math.min(1, this.weights[target] + RETURN_WEIGHT_STEP);
				}
			}
			runRound();
		}
	}

	private void runRound() {
		Map<ShardId, Double> shardLoads = shardLoads();
		this.owners.keySet().retainAll(shardLoads.keySet());
		List<PlacedShard> shards = new ArrayList<>();
		shardLoads.forEach((id, load) -> shards.add(new PlacedShard(id, owner(id), load, "")));
		List<TargetCapacity> targets = IntStream.range(0, this.weights.length)
			.mapToObj((target) -> new TargetCapacity(Integer.toString(target), "", !this.outOfService.contains(target),
					this.weights[target]))
			.toList();
		this.policy.plan(shards, targets, this.budget)
			.forEach((move) -> this.owners.put(move.shard(), move.destination()));
		for (int key = 0; key < KEYS; key++) {
			this.keyOwners[key] = owner(shard(key));
		}
	}

	private String owner(ShardId id) {
		// A hot key that was split from its slice stays with the slice's owner until it
		// is moved.
		return this.owners.getOrDefault(id, this.owners.getOrDefault(slice(id), ""));
	}

	private Map<ShardId, Double> shardLoads() {
		Map<ShardId, Double> loadSums = new TreeMap<>();
		IntStream.range(0, ShardMap.SLICES).forEach((slice) -> loadSums.put(ShardId.slice("s", slice), 0.0));
		IntStream.range(0, KEYS).forEach((key) -> loadSums.merge(shard(key), this.loads[key], Double::sum));
		return loadSums;
	}

	private ShardId shard(int key) {
		String name = "k" + key;
		int slice = KeyHash.slice(name, ShardMap.SLICES);
		boolean hot = this.splitHotKeys && this.loads[key] > SPLIT_SHARE * TOTAL_LOAD / this.weights.length;
		return (hot) ? ShardId.hotKey("s", slice, name) : ShardId.slice("s", slice);
	}

	private static ShardId slice(ShardId id) {
		return ShardId.slice(id.service(), id.slice());
	}

	double imbalance() {
		Map<String, Double> loadSums = new HashMap<>();
		IntStream.range(0, KEYS).forEach((key) -> loadSums.merge(this.keyOwners[key], this.loads[key], Double::sum));
		double maxLoad = loadSums.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
		return maxLoad * (this.weights.length - this.outOfService.size()) / TOTAL_LOAD;
	}

	private double ownedShare(Set<Integer> targets) {
		return Arrays.stream(this.keyOwners)
			.filter((owner) -> owner != null && targets.contains(Integer.parseInt(owner)))
			.count() / (double) KEYS;
	}

	/** Resets the churn and the affected share. */
	void resetChurn() {
		this.churnBaseline = this.keyOwners.clone();
		this.affectedShare = 0;
	}

	double churn() {
		return IntStream.range(0, KEYS)
			.filter((key) -> this.churnBaseline[key] != null && !this.churnBaseline[key].equals(this.keyOwners[key]))
			.count() / (double) KEYS;
	}

	/**
	 * Returns the share of the keys that the last change of targets affects in any case.
	 * @return the share owned by targets that left, plus an even share for each target
	 * that returned
	 */
	double affectedShare() {
		return this.affectedShare;
	}

}

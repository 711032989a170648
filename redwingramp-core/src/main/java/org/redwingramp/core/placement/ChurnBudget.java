package org.redwingramp.core.placement;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.redwingramp.core.placement.PlacementPolicy.PlacedShard;
import org.redwingramp.core.placement.PlacementPolicy.TargetCapacity;

/**
 * Limits the moves per second that only improve the balance. Stateless and thread safe.
 *
 * <p>
 * Invariant: at least one move, so that an imbalance always ends.
 */
public final class ChurnBudget {

	/** The moves per second as a part of the service's shards. */
	public static final int DIVISOR = 64;

	/**
	 * A target with this many times its share is overloaded, as a straggler or after a
	 * cold start of all others, so the budget rises. Returning targets don't raise it,
	 * since a herd of moves onto cold targets costs more than a slow return.
	 */
	private static final double OVERLOAD = 2;

	private static final int OVERLOAD_FACTOR = 8;

	private ChurnBudget() {
	}

	/**
	 * Returns the budget of one service.
	 * @param shards all shards of the service
	 * @param targets all targets of the service
	 * @return the largest number of moves in the next second
	 */
	public static int movesPerSecond(List<PlacedShard> shards, List<TargetCapacity> targets) {
		Map<String, Double> loads = shards.stream()
			.collect(Collectors.groupingBy(PlacedShard::owner, Collectors.summingDouble(PlacedShard::load)));
		double total = shards.stream().mapToDouble(PlacedShard::load).sum();
		List<TargetCapacity> takers = targets.stream().filter(TargetCapacity::takesShards).toList();
		double mean = total / takers.stream().mapToDouble(TargetCapacity::weight).sum();
		boolean overload = takers.stream()
			.anyMatch((target) -> loads.getOrDefault(target.name(), 0.0) > OVERLOAD * mean * target.weight());
		return Math.max(1, shards.size() / DIVISOR) * (overload ? OVERLOAD_FACTOR : 1);
	}

}

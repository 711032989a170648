package org.redwingramp.core.placement;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.redwingramp.core.placement.PlacementPolicy.PlacedShard;
import org.redwingramp.core.placement.PlacementPolicy.TargetCapacity;

/**
 * Limits how many shards per second are moved only to improve the balance. Stateless and
 * thread safe.
 *
 * <p>
 * Invariant: the budget is at least one move, so that every imbalance is corrected
 * eventually.
 */
public final class ChurnBudget {

	/** The budget allows one move per second for each group of this many shards. */
	public static final int SHARDS_PER_MOVE = 64;

	/**
	 * A target counts as overloaded above this multiple of its share of the load, for
	 * example as a straggler or after a cold start of all other targets. The budget is
	 * then increased. Returning targets don't increase it, since many simultaneous moves
	 * to cold targets cost more than a slow return.
	 */
	private static final double OVERLOAD_RATIO = 2;

	/** Factor by which the budget is increased while a target is overloaded. */
	private static final int OVERLOAD_BUDGET_FACTOR = 8;

	private ChurnBudget() {
	}

	/**
	 * Returns the maximum number of rebalancing moves of one service.
	 * @param shards all shards of the service
	 * @param targets all targets of the service
	 * @return the maximum number of moves in the next second
	 */
	public static int movesPerSecond(List<PlacedShard> shards, List<TargetCapacity> targets) {
		Map<String, Double> loads = shards.stream()
			.collect(Collectors.groupingBy(PlacedShard::owner, Collectors.summingDouble(PlacedShard::load)));
		double total = shards.stream().mapToDouble(PlacedShard::load).sum();
		List<TargetCapacity> accepting = targets.stream().filter(TargetCapacity::acceptsShards).toList();
		double loadPerWeight = total / accepting.stream().mapToDouble(TargetCapacity::weight).sum();
		boolean overloaded = accepting.stream()
			.anyMatch((target) -> loads.getOrDefault(target.name(), 0.0) > OVERLOAD_RATIO * loadPerWeight
					* target.weight());
		return Math.max(1, shards.size() / SHARDS_PER_MOVE) * (overloaded ? OVERLOAD_BUDGET_FACTOR : 1);
	}

}

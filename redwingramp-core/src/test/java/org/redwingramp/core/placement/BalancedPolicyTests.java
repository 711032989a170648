package org.redwingramp.core.placement;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.placement.PlacementPolicy.Move;
import org.redwingramp.core.placement.PlacementPolicy.PlacedShard;
import org.redwingramp.core.placement.PlacementPolicy.Reason;
import org.redwingramp.core.placement.PlacementPolicy.TargetCapacity;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an imbalance above the bound, unnecessary moves, and moves to targets
 * that don't accept shards.
 */
class BalancedPolicyTests {

	private static final double MAX_IMBALANCE = 1.10;

	/**
	 * The policy should make as few moves as possible. As a greedy algorithm it may need
	 * up to this multiple of the minimum.
	 */
	private static final double MAX_MOVES_RATIO = 2;

	private final PlacementPolicy policy = PlacementPolicies.balanced();

	@ParameterizedTest
	@CsvSource({ "20,256,0", "20,256,0.8", "25,256,0", "25,256,0.8", "200,2048,0" })
	void shouldStayBalancedWithFewMovesWhenADomainLeavesAndReturns(int targets, int slices, double exponent) {
		PlacementModel model = new PlacementModel(this.policy, slices, targets);
		setLoads(model, exponent, 1);
		List<TargetCapacity> all = PlacementModel.capacities(0, targets);
		model.applyUntilStable(all, slices / 32);
		assertBalancedWithFewMoves(model, PlacementModel.capacities(targets / 4, targets), slices / 32);
		assertBalancedWithFewMoves(model, all, slices / 32);
		setLoads(model, exponent, 2);
		assertBalancedWithFewMoves(model, all, slices / 32);
	}

	private static void setLoads(PlacementModel model, double exponent, long seed) {
		if (exponent == 0) {
			model.setUniformLoads(seed);
		}
		else {
			model.setZipfLoads(exponent, seed);
		}
	}

	private static void assertBalancedWithFewMoves(PlacementModel model, List<TargetCapacity> capacities, int budget) {
		int minimumMoves = model.minimumMoves(capacities);
		assertThat(model.applyUntilStable(capacities, budget))
			.isLessThanOrEqualTo((int) (MAX_MOVES_RATIO * minimumMoves));
		assertThat(model.imbalance(capacities)).isLessThanOrEqualTo(MAX_IMBALANCE);
	}

	private static PlacedShard shard(int slice, String owner, double load, String pin) {
		return new PlacedShard(ShardId.slice("svc", slice), owner, load, pin);
	}

	private static TargetCapacity target(String name, boolean accepts, double weight) {
		return new TargetCapacity(name, "d", accepts, weight);
	}

	@Test
	void shouldMoveAllShardsOffTargetsThatAcceptNoneRegardlessOfTheBudget() {
		List<Move> moves = this.policy.plan(
				List.of(shard(0, "t1", 1, ""), shard(1, "t1", 1, ""), shard(2, "", 1, ""), shard(3, "t1", 1, "t1")),
				List.of(target("t1", false, 1), target("t2", true, 1), target("t3", true, 1)), 0);
		assertThat(moves).hasSize(4).noneMatch((move) -> move.destination().equals("t1"));
		assertThat(moves.get(0).reason()).isEqualTo(Reason.UNOWNED);
		assertThat(moves.stream().filter((move) -> move.destination().equals("t2"))).hasSize(2);
	}

	@Test
	void shouldFollowPinsAndKeepPinnedShardsOnAnOverloadedTarget() {
		List<TargetCapacity> targets = List.of(target("t1", true, 1), target("t2", true, 1));
		assertThat(this.policy.plan(List.of(shard(0, "t1", 1, "t2")), targets, 0))
			.containsExactly(new Move(ShardId.slice("svc", 0), "t1", "t2", Reason.PIN));
		assertThat(this.policy.plan(List.of(shard(0, "t1", 9, "t1"), shard(1, "t1", 9, "t1")), targets, 9)).isEmpty();
	}

	@Test
	void shouldPlanNothingWithoutTargetsAndNoMoreThanTheBudget() {
		PlacementModel model = new PlacementModel(this.policy, 64, 1);
		model.setUniformLoads(1);
		assertThat(this.policy.plan(model.placedShards(), List.of(), 10)).isEmpty();
		model.applyUntilStable(PlacementModel.capacities(0, 1), 0);
		assertThat(this.policy.plan(model.placedShards(), PlacementModel.capacities(0, 8), 3)).hasSize(3);
	}

	@Test
	void shouldLimitATargetOfLowWeightToItsShare() {
		PlacementModel model = new PlacementModel(this.policy, 64, 2);
		model.setUniformLoads(1);
		model.applyUntilStable(List.of(target("t1", true, 1), target("t2", true, 1), target("t3", true, 0.1)), 64);
		assertThat(model.owners.values().stream().filter("t3"::equals)).hasSizeBetween(1, 4);
	}

}

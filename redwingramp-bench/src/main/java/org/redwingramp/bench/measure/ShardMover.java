package org.redwingramp.bench.measure;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.placement.ChurnBudget;
import org.redwingramp.core.placement.PlacementPolicy;
import org.redwingramp.core.placement.PlacementPolicy.Move;
import org.redwingramp.core.placement.PlacementPolicy.PlacedShard;
import org.redwingramp.core.placement.PlacementPolicy.TargetCapacity;

/**
 * Moves slices as the controller does: the real policy plans, and each move takes the
 * commits, heartbeats and grants of the design. Not thread safe.
 */
final class ShardMover {

	/** The controller's churn budget for each second while no target is overloaded. */
	static final int CHURN_BUDGET = ShardMap.SLICES / ChurnBudget.DIVISOR;

	private static final long PERIOD = VirtualTime.SECONDS;

	/** One synced write of the log on a majority of replicas, besides two hops. */
	private static final long SYNC = VirtualTime.MILLIS;

	private static final long RETURN = 10 * VirtualTime.SECONDS;

	private static final int NONE = -1;

	private static final double LEAST_WEIGHT = 0.1;

	private static final ControlTiming TIMING = ControlTiming.DEFAULT;

	private final ServiceModel model;

	private final Deployment deployment;

	private final PlacementPolicy policy;

	private final RandomGenerator random;

	private final int budget;

	private final int[] planned = new int[ShardMap.SLICES];

	private final boolean[] moving = new boolean[ShardMap.SLICES];

	private final boolean[] takes;

	private final long[] returnedAt;

	/**
	 * Creates the mover and places all slices.
	 * @param model the model
	 * @param deployment the deployment
	 * @param policy the policy that plans
	 * @param budget the moves per second that only improve the balance
	 * @param random the source of the heartbeats' phases
	 */
	ShardMover(ServiceModel model, Deployment deployment, PlacementPolicy policy, int budget, RandomGenerator random) {
		this.budget = budget;
		this.model = model;
		this.deployment = deployment;
		this.policy = policy;
		this.random = random;
		this.takes = new boolean[model.targets().size()];
		Arrays.fill(this.takes, true);
		this.returnedAt = new long[model.targets().size()];
		Arrays.fill(this.returnedAt, -RETURN);
		Arrays.fill(this.planned, NONE);
		policy.plan(placed(), capacities(), budget).forEach((move) -> {
			int slice = move.shard().slice();
			this.planned[slice] = Integer.parseInt(move.destination());
			model.shards().place(slice, this.planned[slice]);
		});
	}

	/** Plans once a second within the churn budget. */
	void start() {
		this.model.time().every(PERIOD, this::plan);
	}

	/**
	 * Takes targets out of service by an operator's record: their slices are handed over
	 * and entries stop choosing them once the view has arrived.
	 * @param targets the targets
	 */
	void leave(List<Integer> targets) {
		this.model.time().after(commit() + heartbeat(), () -> {
			targets.forEach((target) -> {
				this.takes[target] = false;
				this.model.available(target, false);
			});
			plan();
		});
	}

	/**
	 * Loses targets without notice. Their grant leases end, then their slices are
	 * assigned to others.
	 * @param targets the targets
	 */
	void lose(List<Integer> targets) {
		ShardMap shards = this.model.shards();
		targets.forEach((target) -> {
			this.model.targets().get(target).down(true);
			shards.slicesOf(target).forEach(shards::block);
		});
		long lease = TIMING.grantorWaitNanos(TIMING.grantLeaseNanos())
				- this.random.nextLong(TIMING.grantRenewalNanos());
		this.model.time().after(lease + heartbeat() + commit(), () -> {
			targets.forEach((target) -> {
				this.takes[target] = false;
				this.model.available(target, false);
				this.model.gate(target).open(false);
				this.model.lost(target);
			});
			plan();
		});
	}

	/**
	 * Returns targets to service. They start cold and get their share by and by.
	 * @param targets the targets
	 */
	void comeBack(List<Integer> targets) {
		targets.forEach((target) -> {
			this.model.targets().get(target).down(false);
			this.model.chill(target, true);
		});
		this.model.time().after(commit() + heartbeat(), () -> targets.forEach((target) -> {
			this.takes[target] = true;
			this.returnedAt[target] = this.model.time().now();
			this.model.available(target, true);
			this.model.gate(target).open(true);
		}));
	}

	/**
	 * Loses the gates of targets: nothing starts until the gate lease is over and another
	 * entry has taken over, which begins with one request at a time.
	 * @param targets the targets
	 */
	void loseGates(List<Integer> targets) {
		ShardMap shards = this.model.shards();
		targets.forEach((target) -> {
			this.model.gate(target).open(false);
			shards.slicesOf(target).forEach(shards::block);
		});
		long lease = TIMING.grantorWaitNanos(TIMING.gateLeaseNanos())
				- this.random.nextLong(TIMING.entryHeartbeatNanos());
		this.model.time().after(lease + commit() + heartbeat() + grant(), () -> targets.forEach((target) -> {
			this.model.lost(target);
			this.model.gate(target).cold();
			this.model.gate(target).open(true);
			shards.slicesOf(target).forEach((slice) -> shards.assign(slice, target));
		}));
	}

	private void plan() {
		if (this.model.sharded()) {
			List<PlacedShard> placed = placed();
			List<TargetCapacity> capacities = capacities();
			int moves = (this.budget == CHURN_BUDGET) ? ChurnBudget.movesPerSecond(placed, capacities) : this.budget;
			this.policy.plan(placed, capacities, moves).forEach(this::move);
		}
	}

	private List<PlacedShard> placed() {
		return IntStream.range(0, ShardMap.SLICES)
			.mapToObj((slice) -> new PlacedShard(ShardId.slice("s", slice),
					(this.planned[slice] == NONE) ? "" : Integer.toString(this.planned[slice]), 1, ""))
			.toList();
	}

	private List<TargetCapacity> capacities() {
		Map<String, Double> slow = this.model.slow();
		return IntStream.range(0, this.takes.length)
			.mapToObj((target) -> new TargetCapacity(Integer.toString(target), this.deployment.domain(target),
					this.takes[target], weight(target, slow)))
			.toList();
	}

	private double weight(int target, Map<String, Double> slow) {
		double back = (double) (this.model.time().now() - this.returnedAt[target]) / RETURN;
		double returned = Math.min(1, LEAST_WEIGHT + (1 - LEAST_WEIGHT) * back);
		return returned * Math.max(LEAST_WEIGHT, 1 / slow.getOrDefault(Integer.toString(target), 1.0));
	}

	private void move(Move move) {
		int slice = move.shard().slice();
		this.planned[slice] = Integer.parseInt(move.destination());
		if (this.moving[slice]) {
			return;
		}
		ShardMap shards = this.model.shards();
		this.moving[slice] = true;
		if (shards.blocked(slice)) {
			assignAfter(commit() + heartbeat() + grant(), slice);
			return;
		}
		int source = shards.owner(slice);
		shards.block(slice);
		this.model.withdraw(slice, source);
		release(slice, source);
	}

	// The source's gate waits for requests in flight before it reports the release.
	private void release(int slice, int source) {
		if (this.model.inFlight(slice, source)) {
			this.model.time().after(VirtualTime.MILLIS, () -> release(slice, source));
		}
		else {
			assignAfter(heartbeat() + 2 * commit() + heartbeat() + grant(), slice);
		}
	}

	private void assignAfter(long delay, int slice) {
		this.model.time().after(delay, () -> {
			this.moving[slice] = false;
			this.model.shards().assign(slice, this.planned[slice]);
		});
	}

	private long heartbeat() {
		return this.random.nextLong(TIMING.entryHeartbeatNanos()) + this.deployment.hopNanos();
	}

	private long commit() {
		return 2 * this.deployment.hopNanos() + SYNC;
	}

	// The first grant of a gate only fetches the target's clock.
	private long grant() {
		return 4 * this.deployment.hopNanos();
	}

}

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
 * Moves slices as the controller does: the production placement policy plans the moves,
 * and each move takes the time of the log commits, heartbeats and grants that a handover
 * needs. Not thread safe.
 */
final class ShardMover {

	/** The controller's churn budget for each second while no target is overloaded. */
	static final int CHURN_BUDGET = ShardMap.SLICES / ChurnBudget.SHARDS_PER_MOVE;

	private static final long PLAN_PERIOD_NANOS = VirtualTime.SECONDS;

	/** The synced log write on a majority of replicas, without the two network hops. */
	private static final long LOG_SYNC_NANOS = VirtualTime.MILLIS;

	private static final long RETURN_RAMP_NANOS = 10 * VirtualTime.SECONDS;

	private static final int NONE = -1;

	private static final double MIN_WEIGHT = 0.1;

	private static final ControlTiming TIMING = ControlTiming.DEFAULT;

	private final ServiceModel model;

	private final Deployment deployment;

	private final PlacementPolicy policy;

	private final RandomGenerator random;

	private final int budget;

	private final int[] plannedOwners = new int[ShardMap.SLICES];

	private final boolean[] moving = new boolean[ShardMap.SLICES];

	private final boolean[] inService;

	private final long[] returnedAt;

	/**
	 * Creates the mover and assigns the initial owners of all slices.
	 * @param model the model of the service
	 * @param deployment the deployment
	 * @param policy the policy that plans the moves
	 * @param budget the maximum number of moves per second that only improve the balance
	 * @param random the source of the heartbeats' phases
	 */
	ShardMover(ServiceModel model, Deployment deployment, PlacementPolicy policy, int budget, RandomGenerator random) {
		this.budget = budget;
		this.model = model;
		this.deployment = deployment;
		this.policy = policy;
		this.random = random;
		this.inService = new boolean[model.targets().size()];
		Arrays.fill(this.inService, true);
		this.returnedAt = new long[model.targets().size()];
		Arrays.fill(this.returnedAt, -RETURN_RAMP_NANOS);
		Arrays.fill(this.plannedOwners, NONE);
		policy.plan(placed(), capacities(), budget).forEach((move) -> {
			int slice = move.shard().slice();
			this.plannedOwners[slice] = Integer.parseInt(move.destination());
			model.shards().setInitialOwner(slice, this.plannedOwners[slice]);
		});
	}

	/** Starts to plan moves once a second within the churn budget. */
	void start() {
		this.model.time().every(PLAN_PERIOD_NANOS, this::plan);
	}

	/**
	 * Takes targets out of service by an operator's record. Once the entries have
	 * received the view, they stop choosing the targets, and the slices are handed over.
	 * @param targets the targets
	 */
	void takeOutOfService(List<Integer> targets) {
		this.model.time().after(commitNanos() + heartbeatNanos(), () -> {
			targets.forEach((target) -> {
				this.inService[target] = false;
				this.model.setAvailable(target, false);
			});
			plan();
		});
	}

	/**
	 * Stops targets without notice. Their slices are assigned to other targets after the
	 * grant leases have expired.
	 * @param targets the targets
	 */
	void loseTargets(List<Integer> targets) {
		ShardMap shards = this.model.shards();
		targets.forEach((target) -> {
			this.model.targets().get(target).setStopped(true);
			shards.slicesOf(target).forEach(shards::block);
		});
		long remainingLease = TIMING.grantorWaitNanos(TIMING.grantLeaseNanos())
				- this.random.nextLong(TIMING.grantRenewalNanos());
		this.model.time().after(remainingLease + heartbeatNanos() + commitNanos(), () -> {
			targets.forEach((target) -> {
				this.inService[target] = false;
				this.model.setAvailable(target, false);
				this.model.gate(target).setOpen(false);
				this.model.endSendsToLostTarget(target);
			});
			plan();
		});
	}

	/**
	 * Returns targets to service. They start cold, and their weight in the placement
	 * grows gradually.
	 * @param targets the targets
	 */
	void returnToService(List<Integer> targets) {
		targets.forEach((target) -> {
			this.model.targets().get(target).setStopped(false);
			this.model.makeCold(target, true);
		});
		this.model.time().after(commitNanos() + heartbeatNanos(), () -> targets.forEach((target) -> {
			this.inService[target] = true;
			this.returnedAt[target] = this.model.time().now();
			this.model.setAvailable(target, true);
			this.model.gate(target).setOpen(true);
		}));
	}

	/**
	 * Stops the gates of targets without notice. No request starts until the gate lease
	 * has expired and another entry opens a gate, which begins with one request at a
	 * time.
	 * @param targets the targets
	 */
	void loseGates(List<Integer> targets) {
		ShardMap shards = this.model.shards();
		targets.forEach((target) -> {
			this.model.gate(target).setOpen(false);
			shards.slicesOf(target).forEach(shards::block);
		});
		long remainingLease = TIMING.grantorWaitNanos(TIMING.gateLeaseNanos())
				- this.random.nextLong(TIMING.entryHeartbeatNanos());
		this.model.time()
			.after(remainingLease + commitNanos() + heartbeatNanos() + grantNanos(), () -> targets.forEach((target) -> {
				this.model.endSendsToLostTarget(target);
				this.model.gate(target).markCold();
				this.model.gate(target).setOpen(true);
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
					(this.plannedOwners[slice] == NONE) ? "" : Integer.toString(this.plannedOwners[slice]), 1, ""))
			.toList();
	}

	private List<TargetCapacity> capacities() {
		Map<String, Double> slowFactors = this.model.slowFactors();
		return IntStream.range(0, this.inService.length)
			.mapToObj((target) -> new TargetCapacity(Integer.toString(target), this.deployment.domain(target),
					this.inService[target], weight(target, slowFactors)))
			.toList();
	}

	private double weight(int target, Map<String, Double> slowFactors) {
		double returnProgress = (double) (this.model.time().now() - this.returnedAt[target]) / RETURN_RAMP_NANOS;
		double returnWeight = Math.min(1, MIN_WEIGHT + (1 - MIN_WEIGHT) * returnProgress);
		return returnWeight * Math.max(MIN_WEIGHT, 1 / slowFactors.getOrDefault(Integer.toString(target), 1.0));
	}

	private void move(Move move) {
		int slice = move.shard().slice();
		this.plannedOwners[slice] = Integer.parseInt(move.destination());
		if (this.moving[slice]) {
			return;
		}
		ShardMap shards = this.model.shards();
		this.moving[slice] = true;
		if (shards.blocked(slice)) {
			assignAfter(commitNanos() + heartbeatNanos() + grantNanos(), slice);
			return;
		}
		int source = shards.owner(slice);
		shards.block(slice);
		this.model.withdrawWaiting(slice, source);
		release(slice, source);
	}

	// The gate of the former owner reports the release once no requests are in flight.
	private void release(int slice, int source) {
		if (this.model.hasRequestsInFlight(slice, source)) {
			this.model.time().after(VirtualTime.MILLIS, () -> release(slice, source));
		}
		else {
			assignAfter(heartbeatNanos() + 2 * commitNanos() + heartbeatNanos() + grantNanos(), slice);
		}
	}

	private void assignAfter(long delay, int slice) {
		this.model.time().after(delay, () -> {
			this.moving[slice] = false;
			this.model.shards().assign(slice, this.plannedOwners[slice]);
		});
	}

	private long heartbeatNanos() {
		return this.random.nextLong(TIMING.entryHeartbeatNanos()) + this.deployment.hopNanos();
	}

	private long commitNanos() {
		return 2 * this.deployment.hopNanos() + LOG_SYNC_NANOS;
	}

	// Two round trips: the first grant of a gate only reads the target's clock.
	private long grantNanos() {
		return 4 * this.deployment.hopNanos();
	}

}

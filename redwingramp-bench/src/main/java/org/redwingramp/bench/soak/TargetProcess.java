package org.redwingramp.bench.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

/**
 * A simulated target that follows the grant protocol. A pause freezes it; a new
 * incarnation starts cold and without grants. Not thread safe.
 */
final class TargetProcess extends SimulatedProcess {

	private static final long ANNOUNCEMENT_NANOS = 300 * Simulation.MILLISECOND;

	private final ControlWorkload workload;

	private final String failureDomain;

	private Map<ShardId, Long> shards = Map.of();

	private TargetSpec spec;

	private long epoch;

	private long grantNumber;

	private long leaseUntilMillis;

	private long clockOrigin;

	private int inFlight;

	private boolean leaving;

	TargetProcess(String name, String failureDomain, ControlWorkload workload) {
		super(name, workload.cluster().simulation());
		this.workload = workload;
		this.failureDomain = failureDomain;
		started();
	}

	TargetSpec spec() {
		return this.spec;
	}

	boolean leaving() {
		return this.leaving;
	}

	void leave() {
		this.leaving = true;
	}

	@Override
	void started() {
		this.spec = new TargetSpec(name(), ControlWorkload.SERVICE, "127.0.0.1:8080", this.failureDomain, 3, 110,
				name() + "-run-" + incarnation(), true);
		this.shards = Map.of();
		this.epoch = 0;
		this.leaseUntilMillis = 0;
		this.inFlight = 0;
		this.leaving = false;
		this.clockOrigin = clock() - simulation().between(1, 50);
		runAfter(simulation().between(1, 50), this::announce);
	}

	// The grants of a frozen target count too, since its lease continues.
	boolean serves(ShardId shard) {
		return holdsLease() && this.shards.containsKey(shard);
	}

	boolean holdsLease() {
		return running() && clockMillis() < this.leaseUntilMillis;
	}

	Map<ShardId, Long> shards() {
		return this.shards;
	}

	GrantReply grant(Grant grant) {
		boolean newer = grant.epoch() > this.epoch
				|| (grant.epoch() == this.epoch && grant.number() > this.grantNumber);
		if (newer && grant.bootId().equals(this.spec.bootId())) {
			this.epoch = grant.epoch();
			this.grantNumber = grant.number();
			Map<ShardId, Long> granted = new HashMap<>();
			grant.shards().forEach((shard) -> granted.put(shard.shard(), shard.fence()));
			this.shards = granted;
			this.leaseUntilMillis = grant.leaseUntilMillis();
			this.workload.checks().grantApplied(this);
		}
		return new GrantReply(clockMillis(), this.spec.bootId(), this.epoch, this.inFlight, this.grantNumber);
	}

	// Replies with whether the request ran.
	void execute(ServiceRequest request, long gateEpoch, ShardId shard, long fence, Consumer<Boolean> reply) {
		boolean accepted = serves(shard) && gateEpoch == this.epoch && this.shards.get(shard) == fence;
		if (!accepted) {
			reply.accept(false);
			return;
		}
		this.inFlight++;
		this.workload.checks().executionStarted(this, request, shard, fence);
		long duration = simulation().chance(0.05) ? simulation().between(50, 300) : simulation().between(1, 10);
		runAfter(duration, () -> {
			this.inFlight--;
			this.workload.checks().executionEnded(this, request);
			reply.accept(true);
		});
	}

	private void announce() {
		EntryProcess entry = this.workload.anyEntry();
		boolean leavingTarget = this.leaving;
		this.workload.cluster()
			.network()
			.sendOnce(name(), entry.name(), () -> entry.run(() -> entry.handleAnnouncement(this.spec, leavingTarget)));
		runAfter(ANNOUNCEMENT_NANOS, this::announce);
	}

	private long clockMillis() {
		return (clock() - this.clockOrigin) / Simulation.MILLISECOND;
	}

}

package org.redwingramp.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

/**
 * A target that keeps to the protocol of grants: it serves the shards of the last grant
 * of the highest epoch while the lease lasts on its own clock. Not thread safe.
 */
final class FakeTarget {

	final TargetSpec spec;

	private boolean answering = true;

	private final List<Runnable> arrived = new ArrayList<>();

	private final ClusterHarness cluster;

	private final double clockRate;

	private final Map<String, Long> running = new HashMap<>();

	private final long clockOrigin;

	private long epoch;

	private long grantNumber;

	private long leaseUntil;

	private Map<ShardId, Long> shards = new HashMap<>();

	FakeTarget(TargetSpec spec, ClusterHarness cluster) {
		this.spec = spec;
		this.cluster = cluster;
		this.clockOrigin = cluster.now - 77_000_000L;
		this.clockRate = cluster.clockRate();
	}

	void freeze() {
		this.answering = false;
	}

	/** Lets the target go on as if nothing had happened. */
	void thaw() {
		this.answering = true;
		List<Runnable> late = List.copyOf(this.arrived);
		this.arrived.clear();
		late.forEach(Runnable::run);
	}

	private long clock(long now) {
		return (long) ((now - this.clockOrigin) * this.clockRate) / 1_000_000;
	}

	void receive(Grant grant, Consumer<GrantReply> sender) {
		if (this.answering) {
			sender.accept(grant(grant, this.cluster.now));
		}
		else {
			this.arrived.add(() -> receive(grant, sender));
		}
	}

	private GrantReply grant(Grant grant, long now) {
		boolean newer = grant.epoch() > this.epoch
				|| (grant.epoch() == this.epoch && grant.number() > this.grantNumber);
		if (newer && grant.bootId().equals(this.spec.bootId())) {
			this.epoch = grant.epoch();
			this.grantNumber = grant.number();
			this.shards = new HashMap<>();
			grant.shards().forEach((shard) -> this.shards.put(shard.shard(), shard.fence()));
			this.leaseUntil = grant.leaseUntilMillis();
		}
		return new GrantReply(clock(now), this.spec.bootId(), this.epoch, runningKeys(now).size(), this.grantNumber);
	}

	boolean accepts(ShardId shard, long now) {
		return this.answering && clock(now) < this.leaseUntil && this.shards.containsKey(shard);
	}

	boolean start(String key, ShardId shard, long gateEpoch, long end, long now) {
		boolean started = accepts(shard, now) && gateEpoch == this.epoch;
		if (started) {
			this.running.merge(key, end, Math::max);
		}
		return started;
	}

	// A target that is lost can't be asked to stop what it runs; its grant lease is over
	// and it must not let such a request take effect.
	void abandonRequests() {
		this.running.clear();
	}

	Set<String> runningKeys(long now) {
		this.running.values().removeIf((end) -> now >= end);
		return Set.copyOf(this.running.keySet());
	}

	Set<ShardId> serving(long now) {
		return (clock(now) < this.leaseUntil) ? this.shards.keySet() : Set.of();
	}

}

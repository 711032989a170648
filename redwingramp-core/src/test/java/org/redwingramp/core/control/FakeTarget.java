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
 * A target that follows the grant protocol: it serves the shards of the latest grant of
 * the highest gate epoch until the lease expires on its own clock. Not thread safe.
 */
final class FakeTarget {

	final TargetSpec spec;

	private boolean responsive = true;

	private final List<Runnable> deferredGrants = new ArrayList<>();

	private final ClusterHarness cluster;

	private final double clockRate;

	private final Map<String, Long> runningUntil = new HashMap<>();

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

	/** Pauses the target: it replies to no grant and accepts no request. */
	void freeze() {
		this.responsive = false;
	}

	/** Resumes the target, which first processes the grants that arrived meanwhile. */
	void thaw() {
		this.responsive = true;
		List<Runnable> deferred = List.copyOf(this.deferredGrants);
		this.deferredGrants.clear();
		deferred.forEach(Runnable::run);
	}

	private long clock(long now) {
		return (long) ((now - this.clockOrigin) * this.clockRate) / 1_000_000;
	}

	void receive(Grant grant, Consumer<GrantReply> sender) {
		if (this.responsive) {
			sender.accept(apply(grant, this.cluster.now));
		}
		else {
			this.deferredGrants.add(() -> receive(grant, sender));
		}
	}

	private GrantReply apply(Grant grant, long now) {
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
		return this.responsive && clock(now) < this.leaseUntil && this.shards.containsKey(shard);
	}

	boolean start(String key, ShardId shard, long gateEpoch, long end, long now) {
		boolean started = accepts(shard, now) && gateEpoch == this.epoch;
		if (started) {
			this.runningUntil.merge(key, end, Math::max);
		}
		return started;
	}

	// A lost target cannot be asked to abort its requests. Its grant lease has expired
	// and it must not let these requests take effect.
	void abandonRequests() {
		this.runningUntil.clear();
	}

	Set<String> runningKeys(long now) {
		this.runningUntil.values().removeIf((end) -> now >= end);
		return Set.copyOf(this.runningUntil.keySet());
	}

	Set<ShardId> serving(long now) {
		return (clock(now) < this.leaseUntil) ? this.shards.keySet() : Set.of();
	}

}

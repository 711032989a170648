package org.redwingramp.core.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

/**
 * A target that keeps to the protocol of grants: it serves the shards of the last grant
 * of the highest epoch while the lease lasts on its own clock. Not thread safe.
 */
final class FakeTarget {

	final TargetSpec spec;

	boolean answering = true;

	private final Map<String, Long> running = new HashMap<>();

	private final long clockOrigin;

	private long epoch;

	private long leaseUntil;

	private Map<ShardId, Long> shards = new HashMap<>();

	FakeTarget(TargetSpec spec, long now) {
		this.spec = spec;
		this.clockOrigin = now - 77_000_000L;
	}

	void freeze() {
		this.answering = false;
	}

	private long clock(long now) {
		return (now - this.clockOrigin) / 1_000_000;
	}

	Optional<GrantReply> grant(Grant grant, long now) {
		if (!this.answering) {
			return Optional.empty();
		}
		if (grant.epoch() >= this.epoch && grant.bootId().equals(this.spec.bootId())) {
			this.epoch = grant.epoch();
			this.shards = new HashMap<>();
			grant.shards().forEach((shard) -> this.shards.put(shard.shard(), shard.fence()));
			this.leaseUntil = Math.max(this.leaseUntil, grant.leaseUntilMillis());
		}
		return Optional.of(new GrantReply(clock(now), this.spec.bootId(), this.epoch, runningKeys(now).size()));
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

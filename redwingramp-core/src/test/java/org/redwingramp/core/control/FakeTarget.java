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

	int inFlight;

	private final long clockOrigin;

	private long epoch;

	private long leaseUntil;

	private Map<ShardId, Long> shards = new HashMap<>();

	FakeTarget(TargetSpec spec, long now) {
		this.spec = spec;
		this.clockOrigin = now - 77_000_000L;
	}

	private long clock(long now) {
		return (now - this.clockOrigin) / 1_000_000;
	}

	Optional<GrantReply> grant(Grant grant, long now) {
		if (!this.answering) {
			return Optional.empty();
		}
		if (grant.epoch() >= this.epoch) {
			this.epoch = grant.epoch();
			this.shards = new HashMap<>();
			grant.shards().forEach((shard) -> this.shards.put(shard.shard(), shard.fence()));
			this.leaseUntil = Math.max(this.leaseUntil, grant.leaseUntilMillis());
		}
		return Optional.of(new GrantReply(clock(now), this.spec.bootId(), this.epoch, this.inFlight));
	}

	boolean accepts(ShardId shard, long now) {
		return clock(now) < this.leaseUntil && this.shards.containsKey(shard);
	}

	Set<ShardId> serving(long now) {
		return (clock(now) < this.leaseUntil) ? this.shards.keySet() : Set.of();
	}

}

package org.redwingramp.core.control.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.model.ShardId;

/**
 * Smoothed loads as the gates report them. Not thread safe.
 */
final class LoadBook {

	/** Short enough to find hot keys within seconds, long enough to ignore bursts. */
	private static final long SMOOTHING_NANOS = 5_000_000_000L;

	private static final long SILENCE_NANOS = 3_000_000_000L;

	private static final long SLOW_NANOS = 3_000_000_000L;

	private final Map<String, Rate> shards = new HashMap<>();

	private final Map<ShardId, Rate> hotKeys = new HashMap<>();

	private final Map<String, Rate> slowTargets = new HashMap<>();

	void record(EntryHeartbeat heartbeat, long now) {
		heartbeat.shardLoads().forEach((shard, load) -> this.shards.merge(shard, new Rate(load, now), Rate::smoothed));
		heartbeat.hotKeys()
			.forEach((key) -> this.hotKeys.merge(key.key(), new Rate(key.requestsPerSecond(), now), Rate::smoothed));
		heartbeat.slowTargets().forEach((target, ratio) -> this.slowTargets.put(target, new Rate(ratio, now)));
	}

	double load(ShardId shard, long now) {
		Rate rate = this.shards.get(shard.toString());
		return (rate != null) ? rate.at(now) : 0;
	}

	double hotKeyRate(ShardId key, long now) {
		Rate rate = this.hotKeys.get(key);
		return (rate != null) ? rate.at(now) : 0;
	}

	Collection<ShardId> hotKeys() {
		return this.hotKeys.keySet().stream().sorted().toList();
	}

	/**
	 * Returns how slow a target is.
	 * @param target the target's name
	 * @param now the monotonic time in nanoseconds
	 * @return the ratio to the service's median, 1 unless it was reported as slow lately
	 */
	double slowness(String target, long now) {
		Rate rate = this.slowTargets.get(target);
		return (rate != null && now - rate.at() < SLOW_NANOS) ? Math.max(1, rate.value()) : 1;
	}

	void forget(Set<String> currentShards, long now) {
		this.shards.keySet().retainAll(currentShards);
		this.hotKeys.values().removeIf((rate) -> now - rate.at() > SMOOTHING_NANOS);
		this.slowTargets.values().removeIf((rate) -> now - rate.at() > SLOW_NANOS);
	}

	/**
	 * A smoothed figure.
	 *
	 * @param value the figure
	 * @param at when it was last reported
	 */
	private record Rate(double value, long at) {

		Rate smoothed(Rate next) {
			double elapsed = Math.max(0, next.at - this.at);
			double share = elapsed / (elapsed + SMOOTHING_NANOS);
			return new Rate(this.value + (next.value - this.value) * share, next.at);
		}

		double at(long now) {
			long silence = now - this.at - SILENCE_NANOS;
			return (silence <= 0) ? this.value : this.value * SMOOTHING_NANOS / (SMOOTHING_NANOS + silence);
		}

	}

}

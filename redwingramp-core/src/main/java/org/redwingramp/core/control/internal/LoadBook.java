package org.redwingramp.core.control.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
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

	/** A key must stand out for this long, since a short report says little. */
	private static final long HOT_NANOS = 2_000_000_000L;

	/**
	 * A slow target that has lost its load can't be measured, so it is trusted again
	 * gradually; otherwise its shards would move back and forth.
	 */
	private static final long SLOW_NANOS = 10_000_000_000L;

	private final Map<String, Rate> shards = new HashMap<>();

	private final Map<ShardId, Rate> hotKeys = new HashMap<>();

	private final Map<String, Rate> slowTargets = new HashMap<>();

	void record(EntryHeartbeat heartbeat, long now) {
		heartbeat.shardLoads()
			.forEach((shard, load) -> this.shards.merge(shard, new Rate(load, now, now), Rate::smoothed));
		heartbeat.hotKeys()
			.forEach((key) -> this.hotKeys.merge(key.key(), new Rate(key.requestsPerSecond(), now, now),
					Rate::smoothed));
		heartbeat.slowTargets().forEach((target, ratio) -> this.slowTargets.put(target, new Rate(ratio, now, now)));
	}

	double load(ShardId shard, long now) {
		Rate rate = this.shards.get(shard.toString());
		return (rate != null) ? rate.at(now) : 0;
	}

	double hotKeyRate(ShardId key, long now) {
		Rate rate = this.hotKeys.get(key);
		return (rate != null) ? rate.at(now) : 0;
	}

	/**
	 * Returns the keys of a service that have stood out for a while.
	 * @param service the service's name
	 * @param leastRate the lowest rate in requests per second
	 * @param now the monotonic time in nanoseconds
	 * @return the keys, highest rate first
	 */
	List<ShardId> hotKeys(String service, double leastRate, long now) {
		return this.hotKeys.entrySet()
			.stream()
			.filter((key) -> key.getKey().service().equals(service) && key.getValue().at(now) > leastRate
					&& key.getValue().at() - key.getValue().since() >= HOT_NANOS)
			.sorted(Comparator.comparingDouble((Map.Entry<ShardId, Rate> key) -> -key.getValue().at(now))
				.thenComparing(Map.Entry::getKey))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns how slow a target is.
	 * @param target the target's name
	 * @param now the monotonic time in nanoseconds
	 * @return the ratio to the service's median, 1 unless it was reported as slow lately
	 */
	double slowness(String target, long now) {
		Rate rate = this.slowTargets.get(target);
		if (rate == null) {
			return 1;
		}
		double silence = Math.max(0, now - rate.at() - SILENCE_NANOS);
		return 1 + Math.max(0, rate.value() - 1) * SLOW_NANOS / (SLOW_NANOS + 10 * silence);
	}

	void forget(Set<String> currentShards, long now) {
		this.shards.keySet().retainAll(currentShards);
		this.hotKeys.values().removeIf((rate) -> now - rate.at() > SMOOTHING_NANOS);
		this.slowTargets.values().removeIf((rate) -> now - rate.at() > 3 * SLOW_NANOS);
	}

	/**
	 * A smoothed figure.
	 *
	 * @param value the figure
	 * @param since when it was first reported
	 * @param at when it was last reported
	 */
	private record Rate(double value, long since, long at) {

		Rate smoothed(Rate next) {
			double elapsed = Math.max(0, next.at - this.at);
			double share = elapsed / (elapsed + SMOOTHING_NANOS);
			long start = (elapsed > SILENCE_NANOS) ? next.at : this.since;
			return new Rate(this.value + (next.value - this.value) * share, start, next.at);
		}

		double at(long now) {
			long silence = now - this.at - SILENCE_NANOS;
			return (silence <= 0) ? this.value : this.value * SMOOTHING_NANOS / (SMOOTHING_NANOS + silence);
		}

	}

}

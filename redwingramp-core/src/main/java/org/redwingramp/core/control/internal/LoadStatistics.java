package org.redwingramp.core.control.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.model.ShardId;

/**
 * Smoothed load figures of shards, hot keys and slow targets, from the reports of the
 * gates. Not thread safe.
 */
final class LoadStatistics {

	/**
	 * Time constant of the smoothing: short enough to find hot keys within seconds, long
	 * enough to ignore bursts.
	 */
	private static final long SMOOTHING_NANOS = 5_000_000_000L;

	/** The time without a report after which a figure begins to decay. */
	private static final long REPORT_TIMEOUT_NANOS = 3_000_000_000L;

	/**
	 * The time for which a key must have been reported before it counts as hot, since a
	 * single short report may be a burst.
	 */
	private static final long MIN_HOT_NANOS = 2_000_000_000L;

	/**
	 * Determines the decay of a target's slowness: the excess over 1 halves when the
	 * report is overdue by a tenth of this time, and is discarded three times this time
	 * after the last report. A slow target that has lost its load can't be measured, so
	 * its weight recovers gradually; otherwise its shards would move back and forth.
	 */
	private static final long SLOWNESS_DECAY_NANOS = 10_000_000_000L;

	private final Map<String, SmoothedValue> shards = new HashMap<>();

	private final Map<ShardId, SmoothedValue> hotKeys = new HashMap<>();

	private final Map<String, SmoothedValue> slowTargets = new HashMap<>();

	void record(EntryHeartbeat heartbeat, long now) {
		heartbeat.shardLoads()
			.forEach((shard, load) -> this.shards.merge(shard, new SmoothedValue(load, now, now),
					SmoothedValue::smoothed));
		heartbeat.hotKeys()
			.forEach((key) -> this.hotKeys.merge(key.key(), new SmoothedValue(key.requestsPerSecond(), now, now),
					SmoothedValue::smoothed));
		heartbeat.slowTargets()
			.forEach((target, ratio) -> this.slowTargets.put(target, new SmoothedValue(ratio, now, now)));
	}

	double load(ShardId shard, long now) {
		SmoothedValue rate = this.shards.get(shard.toString());
		return (rate != null) ? rate.valueAt(now) : 0;
	}

	double hotKeyRate(ShardId key, long now) {
		SmoothedValue rate = this.hotKeys.get(key);
		return (rate != null) ? rate.valueAt(now) : 0;
	}

	/**
	 * Returns the keys of a service that have been reported long enough to count as hot.
	 * @param service the service's name
	 * @param minRate the rate in requests per second that a key must exceed
	 * @param now the monotonic time in nanoseconds
	 * @return the keys, highest rate first
	 */
	List<ShardId> hotKeys(String service, double minRate, long now) {
		return this.hotKeys.entrySet()
			.stream()
			.filter((key) -> key.getKey().service().equals(service) && key.getValue().valueAt(now) > minRate
					&& key.getValue().reportedAt() - key.getValue().reportedSince() >= MIN_HOT_NANOS)
			.sorted(Comparator.comparingDouble((Map.Entry<ShardId, SmoothedValue> key) -> -key.getValue().valueAt(now))
				.thenComparing(Map.Entry::getKey))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns how slow a target is.
	 * @param target the target's name
	 * @param now the monotonic time in nanoseconds
	 * @return the ratio of its service time to the service's median, 1 unless it was
	 * reported as slow recently
	 */
	double slowness(String target, long now) {
		SmoothedValue ratio = this.slowTargets.get(target);
		if (ratio == null) {
			return 1;
		}
		double overdueNanos = Math.max(0, now - ratio.reportedAt() - REPORT_TIMEOUT_NANOS);
		return 1 + Math.max(0, ratio.value() - 1) * SLOWNESS_DECAY_NANOS / (SLOWNESS_DECAY_NANOS + 10 * overdueNanos);
	}

	void removeOutdated(Set<String> currentShards, long now) {
		this.shards.keySet().retainAll(currentShards);
		this.hotKeys.values().removeIf((rate) -> now - rate.reportedAt() > SMOOTHING_NANOS);
		this.slowTargets.values().removeIf((rate) -> now - rate.reportedAt() > 3 * SLOWNESS_DECAY_NANOS);
	}

	/**
	 * A smoothed figure.
	 *
	 * @param value the figure
	 * @param reportedSince when the current series of reports began
	 * @param reportedAt when it was last reported
	 */
	private record SmoothedValue(double value, long reportedSince, long reportedAt) {

		SmoothedValue smoothed(SmoothedValue next) {
			double elapsed = Math.max(0, next.reportedAt - this.reportedAt);
			double share = elapsed / (elapsed + SMOOTHING_NANOS);
			long since = (elapsed > REPORT_TIMEOUT_NANOS) ? next.reportedAt : this.reportedSince;
			return new SmoothedValue(this.value + (next.value - this.value) * share, since, next.reportedAt);
		}

		double valueAt(long now) {
			long overdueNanos = now - this.reportedAt - REPORT_TIMEOUT_NANOS;
			return (overdueNanos <= 0) ? this.value : this.value * SMOOTHING_NANOS / (SMOOTHING_NANOS + overdueNanos);
		}

	}

}

package org.redwingramp.core.control.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.ShardId;

/**
 * Gives the hot and the pinned keys of one service a shard of their own, and merges the
 * keys that have become cold back into their slices. Not thread safe.
 */
final class HotKeyPlanner {

	/** A key is hot above this share of the mean load of a target. */
	private static final double HOT_SHARE = 0.25;

	/** A key is cold below this share of the mean load of a target. */
	private static final double COLD_SHARE = 0.05;

	/**
	 * Requests per second below which a key can't overload a target, whatever its share.
	 */
	private static final double MIN_HOT_RATE = 5;

	private static final long MERGE_DELAY_NANOS = 30_000_000_000L;

	private static final long PLAN_INTERVAL_NANOS = 1_000_000_000L;

	private static final int MAX_SPLITS_PER_PLAN = 8;

	/**
	 * The maximum number of split keys per target of the service, pinned keys excluded.
	 */
	private static final int MAX_SPLIT_KEYS_PER_TARGET = 4;

	private final LoadStatistics loads;

	private final Map<ShardId, Long> coldSince = new HashMap<>();

	private Map<ShardId, String> requiredTargets = new TreeMap<>();

	private long nextPlan;

	HotKeyPlanner(LoadStatistics loads) {
		this.loads = loads;
	}

	/**
	 * Proposes the splits and merges.
	 * @param service the service
	 * @param view the view
	 * @param proposals collects the commands
	 * @param now the monotonic time in nanoseconds
	 * @return the target that each pinned key must be on and, for each cold key whose
	 * shard has another owner than its slice, the owner of the slice, to which the key
	 * must be moved before it can be merged
	 */
	Map<ShardId, String> propose(RecordBody.Service service, ControlView view, Proposals proposals, long now) {
		if (now < this.nextPlan) {
			return this.requiredTargets;
		}
		this.nextPlan = now + PLAN_INTERVAL_NANOS;
		this.requiredTargets = pinned(service, view);
		List<ShardState> split = view.shards(service.name())
			.stream()
			.filter((shard) -> shard.id().singleKey())
			.toList();
		Set<ShardId> splitKeys = split.stream().map(ShardState::id).collect(Collectors.toSet());
		this.requiredTargets.keySet()
			.stream()
			.filter((key) -> !splitKeys.contains(key))
			.forEach((key) -> proposals.add(new Command.SplitHotKey(key)));
		double mean = meanLoad(service, view, now);
		split(service, view, splitKeys, mean, proposals, now);
		Set<ShardId> pinnedKeys = Set.copyOf(this.requiredTargets.keySet());
		split.stream()
			.filter((shard) -> !pinnedKeys.contains(shard.id()) && cold(shard, mean, now))
			.forEach((shard) -> merge(shard, view, proposals));
		this.coldSince.keySet().retainAll(splitKeys);
		return this.requiredTargets;
	}

	private static Map<ShardId, String> pinned(RecordBody.Service service, ControlView view) {
		Map<ShardId, String> pinned = new TreeMap<>();
		view.records()
			.stream()
			.map((state) -> state.record().body())
			.filter((body) -> body instanceof RecordBody.Pin pin && pin.service().equals(service.name()))
			.map(RecordBody.Pin.class::cast)
			.forEach((pin) -> pin.keys()
				.forEach((key) -> pinned.put(ShardId.hotKey(service.name(), KeyHash.slice(key, service.slices()), key),
						pin.target())));
		return pinned;
	}

	private double meanLoad(RecordBody.Service service, ControlView view, long now) {
		double total = view.shards(service.name())
			.stream()
			.mapToDouble((shard) -> this.loads.load(shard.id(), now))
			.sum();
		long acceptingTargets = view.targets(service.name())
			.stream()
			.filter((target) -> TargetWeights.acceptsShards(target, view))
			.count();
		return total / Math.max(1, acceptingTargets);
	}

	private void split(RecordBody.Service service, ControlView view, Set<ShardId> splitKeys, double mean,
			Proposals proposals, long now) {
		long unpinned = splitKeys.stream().filter((key) -> !this.requiredTargets.containsKey(key)).count();
		long remaining = MAX_SPLIT_KEYS_PER_TARGET * view.targets(service.name()).size() - unpinned;
		this.loads.hotKeys(service.name(), Math.max(MIN_HOT_RATE, HOT_SHARE * mean), now)
			.stream()
			.filter((key) -> !splitKeys.contains(key))
			.limit(Math.max(0, Math.min(remaining, MAX_SPLITS_PER_PLAN)))
			.forEach((key) -> proposals.add(new Command.SplitHotKey(key)));
	}

	private boolean cold(ShardState hot, double mean, long now) {
		double rate = Math.max(this.loads.load(hot.id(), now), this.loads.hotKeyRate(hot.id(), now));
		if (rate > COLD_SHARE * mean && rate > MIN_HOT_RATE / 2) {
			this.coldSince.remove(hot.id());
			return false;
		}
		return now - this.coldSince.computeIfAbsent(hot.id(), (id) -> now) >= MERGE_DELAY_NANOS;
	}

	private void merge(ShardState hot, ControlView view, Proposals proposals) {
		view.shard(ShardId.slice(hot.id().service(), hot.id().slice()))
			.filter((slice) -> slice.phase() == ShardPhase.OWNED)
			.ifPresent((slice) -> {
				if (hot.phase() == ShardPhase.OWNED && hot.owner().equals(slice.owner())) {
					proposals.add(new Command.MergeHotKey(hot.id()));
				}
				else {
					this.requiredTargets.put(hot.id(), slice.owner());
				}
			});
	}

}

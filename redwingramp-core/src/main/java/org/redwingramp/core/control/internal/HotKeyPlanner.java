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
 * Splits the hot and pinned keys of one service out of their slices and merges those that
 * have become cold. Not thread safe.
 */
final class HotKeyPlanner {

	/** A key is hot above this part of a target's mean load. */
	private static final double SPLIT_SHARE = 0.25;

	/** A key is cold below this part of a target's mean load. */
	private static final double MERGE_SHARE = 0.05;

	/** Below this rate a key can't burden a target, whatever its share. */
	private static final double LEAST_RATE = 5;

	private static final long COLD_NANOS = 30_000_000_000L;

	private static final long ROUND_NANOS = 1_000_000_000L;

	private static final int MAX_PER_ROUND = 8;

	/** The limit of split keys per target of the service, besides pinned ones. */
	private static final int MAX_PER_TARGET = 4;

	private final LoadBook loads;

	private final Map<ShardId, Long> coldSince = new HashMap<>();

	private Map<ShardId, String> wanted = new TreeMap<>();

	private long nextRound;

	HotKeyPlanner(LoadBook loads) {
		this.loads = loads;
	}

	/**
	 * Proposes the splits and merges.
	 * @param service the service
	 * @param view the view
	 * @param proposals where the commands go
	 * @param now the monotonic time in nanoseconds
	 * @return the targets that pinned keys and keys to be merged belong on
	 */
	Map<ShardId, String> propose(RecordBody.Service service, ControlView view, Proposals proposals, long now) {
		if (now < this.nextRound) {
			return this.wanted;
		}
		this.nextRound = now + ROUND_NANOS;
		this.wanted = pinned(service, view);
		List<ShardState> split = view.shards(service.name())
			.stream()
			.filter((shard) -> shard.id().singleKey())
			.toList();
		Set<ShardId> known = split.stream().map(ShardState::id).collect(Collectors.toSet());
		this.wanted.keySet()
			.stream()
			.filter((key) -> !known.contains(key))
			.forEach((key) -> proposals.add(new Command.SplitHotKey(key)));
		double mean = meanLoad(service, view, now);
		split(service, view, known, mean, proposals, now);
		Set<ShardId> fixed = Set.copyOf(this.wanted.keySet());
		split.stream()
			.filter((shard) -> !fixed.contains(shard.id()) && cold(shard, mean, now))
			.forEach((shard) -> merge(shard, view, proposals));
		this.coldSince.keySet().retainAll(known);
		return this.wanted;
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
		long takers = view.targets(service.name())
			.stream()
			.filter((target) -> TargetWeights.takesShards(target, view))
			.count();
		return total / Math.max(1, takers);
	}

	private void split(RecordBody.Service service, ControlView view, Set<ShardId> known, double mean,
			Proposals proposals, long now) {
		long split = known.stream().filter((key) -> !this.wanted.containsKey(key)).count();
		long room = MAX_PER_TARGET * view.targets(service.name()).size() - split;
		this.loads.hotKeys(service.name(), Math.max(LEAST_RATE, SPLIT_SHARE * mean), now)
			.stream()
			.filter((key) -> !known.contains(key))
			.limit(Math.max(0, Math.min(room, MAX_PER_ROUND)))
			.forEach((key) -> proposals.add(new Command.SplitHotKey(key)));
	}

	private boolean cold(ShardState hot, double mean, long now) {
		double rate = Math.max(this.loads.load(hot.id(), now), this.loads.hotKeyRate(hot.id(), now));
		if (rate > MERGE_SHARE * mean && rate > LEAST_RATE / 2) {
			this.coldSince.remove(hot.id());
			return false;
		}
		return now - this.coldSince.computeIfAbsent(hot.id(), (id) -> now) >= COLD_NANOS;
	}

	private void merge(ShardState hot, ControlView view, Proposals proposals) {
		view.shard(ShardId.slice(hot.id().service(), hot.id().slice()))
			.filter((slice) -> slice.phase() == ShardPhase.OWNED)
			.ifPresent((slice) -> {
				if (hot.phase() == ShardPhase.OWNED && hot.owner().equals(slice.owner())) {
					proposals.add(new Command.MergeHotKey(hot.id()));
				}
				else {
					this.wanted.put(hot.id(), slice.owner());
				}
			});
	}

}

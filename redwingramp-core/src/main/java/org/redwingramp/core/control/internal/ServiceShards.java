package org.redwingramp.core.control.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.ShardId;

/**
 * The shards of one service: slices by index, and shards of single keys by key. Immutable
 * and thread safe; the sorted list and the index by owner are computed on first use.
 */
final class ServiceShards {

	static final ServiceShards EMPTY = new ServiceShards(new ShardState[0], Map.of());

	private final ShardState[] slices;

	private final Map<String, ShardState> hotKeys;

	private volatile Map<String, List<ShardState>> byOwner;

	private volatile List<ShardState> sortedShards;

	private ServiceShards(ShardState[] slices, Map<String, ShardState> hotKeys) {
		this.slices = slices;
		this.hotKeys = hotKeys;
	}

	ServiceShards with(Collection<ShardState> changed, Collection<ShardId> removed) {
		int length = changed.stream().mapToInt((shard) -> shard.id().slice() + 1).max().orElse(0);
		ShardState[] copy = new ShardState[Math.max(length, this.slices.length)];
		System.arraycopy(this.slices, 0, copy, 0, this.slices.length);
		Map<String, ShardState> keys = new HashMap<>(this.hotKeys);
		for (ShardId id : removed) {
			if (id.singleKey()) {
				keys.remove(id.hotKey());
			}
			else if (id.slice() < copy.length) {
				copy[id.slice()] = null;
			}
		}
		for (ShardState shard : changed) {
			if (shard.id().singleKey()) {
				keys.put(shard.id().hotKey(), shard);
			}
			else {
				copy[shard.id().slice()] = shard;
			}
		}
		return new ServiceShards(withoutTrailingNulls(copy), keys);
	}

	private static ShardState[] withoutTrailingNulls(ShardState[] slices) {
		int length = slices.length;
		while (length > 0 && slices[length - 1] == null) {
			length--;
		}
		return (length == slices.length) ? slices : Arrays.copyOf(slices, length);
	}

	ShardState find(ShardId id) {
		if (id.singleKey()) {
			return this.hotKeys.get(id.hotKey());
		}
		return (id.slice() >= 0 && id.slice() < this.slices.length) ? this.slices[id.slice()] : null;
	}

	ShardState ofKey(String key) {
		ShardState hot = this.hotKeys.get(key);
		if (hot != null || this.slices.length == 0) {
			return hot;
		}
		return this.slices[KeyHash.slice(key, this.slices.length)];
	}

	boolean empty() {
		return this.slices.length == 0 && this.hotKeys.isEmpty();
	}

	int hotKeyCount() {
		return this.hotKeys.size();
	}

	List<ShardState> all() {
		List<ShardState> result = this.sortedShards;
		if (result == null) {
			Stream<ShardState> existingSlices = Stream.of(this.slices).filter((shard) -> shard != null);
			result = Stream.concat(existingSlices, this.hotKeys.values().stream())
				.sorted((left, right) -> left.id().compareTo(right.id()))
				.toList();
			this.sortedShards = result;
		}
		return result;
	}

	List<ShardState> ownedBy(String target) {
		Map<String, List<ShardState>> index = this.byOwner;
		if (index == null) {
			index = all().stream()
				.filter((shard) -> !shard.owner().isEmpty())
				.collect(Collectors.groupingBy(ShardState::owner, TreeMap::new,
						Collectors.toCollection(ArrayList::new)));
			this.byOwner = index;
		}
		return List.copyOf(index.getOrDefault(target, List.of()));
	}

}

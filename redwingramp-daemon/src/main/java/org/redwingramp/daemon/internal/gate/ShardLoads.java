package org.redwingramp.daemon.internal.gate;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.redwingramp.core.control.EntryHeartbeat.HotKey;
import org.redwingramp.core.model.ShardId;

/**
 * Counts the requests of shards and their heaviest keys at this instance's gates. The
 * keys of a shard are counted by a summary of bounded size (space saving), so memory
 * doesn't grow with the number of keys. Thread safe.
 */
public final class ShardLoads {

	private static final int KEYS_PER_SHARD = 8;

	private static final double HOT_KEY_SHARE = 0.3;

	private final Map<ShardId, Counts> counts = new HashMap<>();

	synchronized void counted(ShardId shard, String key) {
		if (!shard.service().isEmpty()) {
			this.counts.computeIfAbsent(shard, (id) -> new Counts()).add(key);
		}
	}

	/**
	 * Returns the rates since the last call and starts anew.
	 * @param seconds the time since the last call in seconds
	 * @return the rates by shard, and of the keys that stand out
	 */
	public synchronized Rates take(double seconds) {
		Map<String, Double> rates = new HashMap<>();
		List<HotKey> hotKeys = this.counts.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().singleKey())
			.flatMap((entry) -> entry.getValue()
				.heavy()
				.map((key) -> new HotKey(ShardId.hotKey(entry.getKey().service(), entry.getKey().slice(), key.getKey()),
						key.getValue() / seconds)))
			.toList();
		this.counts.forEach((shard, count) -> rates.put(shard.toString(), count.total / seconds));
		this.counts.clear();
		return new Rates(rates, hotKeys);
	}

	/**
	 * Rates of requests.
	 *
	 * @param shards the requests per second by shard
	 * @param hotKeys the keys that make up a large share of their slice
	 */
	public record Rates(Map<String, Double> shards, List<HotKey> hotKeys) {
	}

	private static final class Counts {

		private final Map<String, Integer> keys = new HashMap<>();

		private int total;

		void add(String key) {
			this.total++;
			if (this.keys.size() < KEYS_PER_SHARD || this.keys.containsKey(key)) {
				this.keys.merge(key, 1, Integer::sum);
				return;
			}
			Map.Entry<String, Integer> least = this.keys.entrySet()
				.stream()
				.min(Map.Entry.comparingByValue())
				.orElseThrow();
			int count = least.getValue();
			this.keys.remove(least.getKey());
			this.keys.put(key, count + 1);
		}

		Stream<Map.Entry<String, Integer>> heavy() {
			return this.keys.entrySet().stream().filter((entry) -> entry.getValue() > this.total * HOT_KEY_SHARE);
		}

	}

}

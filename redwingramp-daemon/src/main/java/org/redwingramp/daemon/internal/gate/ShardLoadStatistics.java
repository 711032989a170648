package org.redwingramp.daemon.internal.gate;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.redwingramp.core.control.EntryHeartbeat.HotKey;
import org.redwingramp.core.model.ShardId;

/**
 * Load statistics of the gates of this instance: request rates by shard and the hot keys
 * of each slice. Keys are counted by the Space-Saving algorithm, whose counters are
 * limited in number, so that memory does not grow with the number of keys. Thread safe.
 */
public final class ShardLoadStatistics {

	private static final int KEY_COUNTERS_PER_SHARD = 8;

	/** The share of the requests of its shard above which a key counts as hot. */
	private static final double MIN_HOT_KEY_SHARE = 0.3;

	private final Map<ShardId, RequestCounts> countsByShard = new HashMap<>();

	// Counts a request; ignored for services without keys.
	synchronized void requestReceived(ShardId shard, String key) {
		if (!shard.service().isEmpty()) {
			this.countsByShard.computeIfAbsent(shard, (id) -> new RequestCounts()).add(key);
		}
	}

	/**
	 * Returns the request rates since the last call and resets the counters.
	 * @param seconds the time since the last call in seconds
	 * @return the rates of the shards and of the hot keys
	 */
	public synchronized Rates takeRates(double seconds) {
		Map<String, Double> rates = new HashMap<>();
		List<HotKey> hotKeys = this.countsByShard.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().singleKey())
			.flatMap((entry) -> entry.getValue()
				.hotKeys()
				.map((key) -> new HotKey(ShardId.hotKey(entry.getKey().service(), entry.getKey().slice(), key.getKey()),
						key.getValue() / seconds)))
			.toList();
		this.countsByShard.forEach((shard, counts) -> rates.put(shard.toString(), counts.total / seconds));
		this.countsByShard.clear();
		return new Rates(rates, hotKeys);
	}

	/**
	 * Request rates.
	 *
	 * @param shards the requests per second by shard
	 * @param hotKeys the keys that receive a large share of the requests of their slice,
	 * with their requests per second
	 */
	public record Rates(Map<String, Double> shards, List<HotKey> hotKeys) {
	}

	private static final class RequestCounts {

		private final Map<String, Integer> countsByKey = new HashMap<>();

		private int total;

		void add(String key) {
			this.total++;
			if (this.countsByKey.size() < KEY_COUNTERS_PER_SHARD || this.countsByKey.containsKey(key)) {
				this.countsByKey.merge(key, 1, Integer::sum);
				return;
			}
			Map.Entry<String, Integer> rarest = this.countsByKey.entrySet()
				.stream()
				.min(Map.Entry.comparingByValue())
				.orElseThrow();
			int count = rarest.getValue();
			this.countsByKey.remove(rarest.getKey());
			this.countsByKey.put(key, count + 1);
		}

		Stream<Map.Entry<String, Integer>> hotKeys() {
			return this.countsByKey.entrySet()
				.stream()
				.filter((entry) -> entry.getValue() > this.total * MIN_HOT_KEY_SHARE);
		}

	}

}

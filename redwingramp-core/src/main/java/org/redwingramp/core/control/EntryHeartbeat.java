package org.redwingramp.core.control;

import java.util.List;
import java.util.Map;

import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.ShardId;

/**
 * What an entry instance tells the leader. Immutable and thread safe.
 *
 * @param entry the instance
 * @param sequence rises by 1 with each heartbeat of one run
 * @param clusterId the control group that the entry's view comes from, empty at start
 * @param viewVersion the version of the view that the entry applies, 0 at start
 * @param leaving whether it is stopping
 * @param handedOver the targets, with gate epochs, for which it no longer sends anything
 * @param lost the targets whose grant lease is over and which don't answer
 * @param released the shards without requests in flight whose grants are withdrawn
 * @param shardLoads the requests per second of the shards that it is gate for
 * @param hotKeys the requests per second of single keys that stand out
 * @param slowTargets the targets that it finds slow, with the ratio of their service time
 * to the median of the service
 */
public record EntryHeartbeat(EntrySpec entry, long sequence, String clusterId, long viewVersion, boolean leaving,
		List<TargetEpoch> handedOver, List<TargetEpoch> lost, List<Command.FencedShard> released,
		Map<String, Double> shardLoads, List<HotKey> hotKeys, Map<String, Double> slowTargets) {

	public EntryHeartbeat {
		handedOver = List.copyOf(handedOver);
		lost = List.copyOf(lost);
		released = List.copyOf(released);
		shardLoads = Map.copyOf(shardLoads);
		hotKeys = List.copyOf(hotKeys);
		slowTargets = Map.copyOf(slowTargets);
	}

	/**
	 * A target under a gate epoch.
	 *
	 * @param target the target's name
	 * @param bootId the run of the target
	 * @param gateEpoch the gate epoch
	 */
	public record TargetEpoch(String target, String bootId, long gateEpoch) {
	}

	/**
	 * A key that gets many requests.
	 *
	 * @param key the key as a shard of its own
	 * @param requestsPerSecond its rate
	 */
	public record HotKey(ShardId key, double requestsPerSecond) {
	}

}

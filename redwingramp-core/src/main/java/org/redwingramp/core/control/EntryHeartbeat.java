package org.redwingramp.core.control;

import java.util.List;
import java.util.Map;

import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.ShardId;

/**
 * The heartbeat that an entry instance sends to the control leader. Immutable and thread
 * safe.
 *
 * @param entry the entry instance
 * @param sequence the sequence number, which rises by 1 with each heartbeat of an
 * incarnation
 * @param clusterId the identifier of the control group that the view comes from, empty
 * before the first view
 * @param viewVersion the version of the view that the entry instance has applied, 0
 * before the first view
 * @param leaving whether the entry instance is stopping
 * @param handedOver the targets that it has handed over and sends no more requests to
 * @param lost the targets whose grant lease has expired and which do not reply
 * @param released the shards that have no requests in flight and whose grants are
 * withdrawn
 * @param shardLoads the requests per second, by shard, of the targets that it is the gate
 * of
 * @param hotKeys the keys with a notably high request rate
 * @param slowTargets the ratio of service time to the median of the service, by name of
 * each target that it considers slow
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
	 * An incarnation of a target under one gate epoch.
	 *
	 * @param target the target's name
	 * @param bootId identifies the incarnation of the target
	 * @param gateEpoch the gate epoch
	 */
	public record TargetEpoch(String target, String bootId, long gateEpoch) {
	}

	/**
	 * A key with a high request rate.
	 *
	 * @param key the identifier of the shard that holds only this key
	 * @param requestsPerSecond the request rate of the key
	 */
	public record HotKey(ShardId key, double requestsPerSecond) {
	}

}

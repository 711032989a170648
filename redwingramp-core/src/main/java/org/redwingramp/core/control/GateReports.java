package org.redwingramp.core.control;

import java.util.List;
import java.util.Map;

/**
 * The reports of the gates of an entry instance for the next heartbeat. Immutable and
 * thread safe.
 *
 * @param leaving whether the instance is stopping
 * @param handedOver the targets whose gates are handed over: no request is in flight and
 * none will be sent
 * @param released the shards that are being released and have no requests in flight, as
 * in {@link EntryAgent#drained}; the agent withdraws their grants before it reports them
 * @param shardLoads the requests per second by shard
 * @param hotKeys the keys with a notably high request rate
 * @param slowTargets the ratio of service time to the median of the service, by name of
 * each target that the gates consider slow
 */
public record GateReports(boolean leaving, List<EntryHeartbeat.TargetEpoch> handedOver,
		List<Command.FencedShard> released, Map<String, Double> shardLoads, List<EntryHeartbeat.HotKey> hotKeys,
		Map<String, Double> slowTargets) {

	/** Empty reports. */
	public static final GateReports NONE = new GateReports(false, List.of(), List.of(), Map.of(), List.of(), Map.of());

	public GateReports {
		handedOver = List.copyOf(handedOver);
		released = List.copyOf(released);
		shardLoads = Map.copyOf(shardLoads);
		hotKeys = List.copyOf(hotKeys);
		slowTargets = Map.copyOf(slowTargets);
	}

}

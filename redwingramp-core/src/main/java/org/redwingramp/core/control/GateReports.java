package org.redwingramp.core.control;

import java.util.List;
import java.util.Map;

/**
 * What the gates of an entry instance report with the next heartbeat. Immutable and
 * thread safe.
 *
 * @param leaving whether the instance is stopping
 * @param handedOver the targets for which nothing is in flight and nothing will be sent
 * @param released the shards being released without requests in flight, as in
 * {@link EntryAgent#drained}; the agent withdraws their grants before it reports them
 * @param shardLoads the requests per second by shard
 * @param hotKeys the keys that stand out
 * @param slowTargets the targets found slow, with the ratio to the service's median
 */
public record GateReports(boolean leaving, List<EntryHeartbeat.TargetEpoch> handedOver,
		List<Command.FencedShard> released, Map<String, Double> shardLoads, List<EntryHeartbeat.HotKey> hotKeys,
		Map<String, Double> slowTargets) {

	/** Nothing to report. */
	public static final GateReports NONE = new GateReports(false, List.of(), List.of(), Map.of(), List.of(), Map.of());

	public GateReports {
		handedOver = List.copyOf(handedOver);
		released = List.copyOf(released);
		shardLoads = Map.copyOf(shardLoads);
		hotKeys = List.copyOf(hotKeys);
		slowTargets = Map.copyOf(slowTargets);
	}

}

package org.redwingramp.core.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.redwingramp.core.control.EntryHeartbeat.TargetEpoch;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.ShardId;

/**
 * An entry instance that sends heartbeats and grants every 100 ms. Not thread safe.
 */
final class FakeEntry {

	private static final long PERIOD = 100_000_000L;

	final EntrySpec spec;

	final EntryAgent agent;

	final Set<ShardId> busy = new HashSet<>();

	Map<String, Double> loads = Map.of();

	List<EntryHeartbeat.HotKey> hotKeys = List.of();

	boolean running = true;

	boolean leaving;

	private final ClusterHarness cluster;

	private final Map<String, Long> nextGrants = new HashMap<>();

	private long nextHeartbeat;

	FakeEntry(ClusterHarness cluster, EntrySpec spec) {
		this.cluster = cluster;
		this.spec = spec;
		this.agent = EntryAgents.create(spec, ControlTiming.DEFAULT);
		this.nextHeartbeat = cluster.now + Math.floorMod(spec.name().hashCode(), 20) * ClusterHarness.STEP;
	}

	void step() {
		long now = this.cluster.now;
		if (!this.running) {
			return;
		}
		if (now >= this.nextHeartbeat) {
			this.nextHeartbeat = now + PERIOD;
			sendHeartbeat(now);
		}
		for (TargetState target : targets()) {
			if (now >= this.nextGrants.getOrDefault(target.spec().name(), 0L)) {
				this.nextGrants.put(target.spec().name(), now + PERIOD);
				sendGrant(target, now);
			}
		}
	}

	List<TargetState> targets() {
		return List.copyOf(this.agent.view().targetsOfGate(this.spec.name()));
	}

	private void sendHeartbeat(long now) {
		targets().stream()
			.flatMap((target) -> this.agent.view().shardsOf(target.spec().name()).stream())
			.filter((shard) -> shard.phase() == ShardPhase.RELEASING && !this.busy.contains(shard.id()))
			.forEach((shard) -> this.agent.drained(shard.id(), shard.fence()));
		List<TargetEpoch> handedOver = targets().stream()
			.filter((target) -> this.agent.handOver(target.spec().name()) && this.busy.isEmpty())
			.map((target) -> new TargetEpoch(target.spec().name(), target.spec().bootId(), target.gateEpoch()))
			.toList();
		EntryHeartbeat heartbeat = this.agent
			.heartbeat(new GateReports(this.leaving, handedOver, List.of(), this.loads, this.hotKeys, Map.of()), now);
		if (this.cluster.leaderReachable) {
			this.cluster.later(() -> {
				EntryHeartbeatReply reply = this.cluster.controller.heartbeat(heartbeat, this.cluster.now);
				this.cluster.later(() -> receive(reply));
			});
		}
	}

	private void receive(EntryHeartbeatReply reply) throws InvariantViolatedException {
		if (this.running) {
			this.agent.reply(reply, this.cluster.now);
		}
	}

	private void sendGrant(TargetState state, long now) {
		String name = state.spec().name();
		Grant grant = this.agent.nextGrant(name, now);
		this.cluster.later(() -> this.cluster.targets.get(name)
			.grant(grant, this.cluster.now)
			.ifPresent((reply) -> this.cluster.later(() -> {
				if (this.running) {
					this.agent.grantReply(name, grant.epoch(), reply, this.cluster.now);
				}
			})));
	}

	boolean mayDispatchTo(FakeTarget target) {
		return this.agent.view()
			.shardsOf(target.spec.name())
			.stream()
			.anyMatch(
					(shard) -> this.agent.mayDispatch(target.spec.name(), shard.id(), shard.fence(), this.cluster.now));
	}

}

package org.redwingramp.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.control.EntryHeartbeat.TargetEpoch;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.RecordBody;

/**
 * An entry instance that sends heartbeats and grants every 100 ms, one grant to a target
 * at a time. Not thread safe.
 */
final class FakeEntry {

	private static final long PERIOD = 100_000_000L;

	final EntrySpec spec;

	final EntryAgent agent;

	Map<String, Double> loads = Map.of();

	List<EntryHeartbeat.HotKey> hotKeys = List.of();

	boolean running = true;

	boolean leaving;

	long dispatched;

	private final ClusterHarness cluster;

	private final Map<String, Grant> awaited = new HashMap<>();

	private final Map<String, Long> sent = new HashMap<>();

	private final List<Request> requests = new ArrayList<>();

	private long nextHeartbeat;

	FakeEntry(ClusterHarness cluster, EntrySpec spec) {
		this.cluster = cluster;
		this.spec = spec;
		this.agent = EntryAgents.create(spec, ControlTiming.DEFAULT);
		this.nextHeartbeat = cluster.now + Math.floorMod(spec.name().hashCode(), 20) * ClusterHarness.STEP;
	}

	void toggleRunning() {
		this.running = !this.running;
	}

	void leave() {
		this.leaving = true;
	}

	void step() {
		long now = this.cluster.now;
		if (!this.running) {
			return;
		}
		this.requests.removeIf((request) -> now >= request.end());
		if (now >= this.nextHeartbeat) {
			this.nextHeartbeat = now + PERIOD;
			sendHeartbeat(now);
		}
		for (TargetState target : targets()) {
			String name = target.spec().name();
			long wait = this.awaited.containsKey(name) ? ControlTiming.DEFAULT.grantTimeoutNanos() : PERIOD;
			if (now - this.sent.getOrDefault(name, 0L) >= wait) {
				this.sent.put(name, now);
				sendGrant(name, now);
			}
		}
	}

	List<TargetState> targets() {
		return List.copyOf(this.agent.view().targetsOfGate(this.spec.name()));
	}

	void request(String key, long duration) {
		Optional<RecordBody.Service> service = this.agent.view().service(Fixtures.KEYED);
		Optional<ShardState> shard = service.flatMap((found) -> this.agent.view().shard(found, key));
		if (!this.running || shard.isEmpty()) {
			return;
		}
		String owner = shard.get().owner();
		if (this.agent.mayDispatch(owner, shard.get().id(), shard.get().fence(), this.cluster.now)) {
			long epoch = this.agent.view().target(owner).orElseThrow().gateEpoch();
			long end = this.cluster.now + duration;
			if (this.cluster.targets.get(owner).start(key, shard.get().id(), epoch, end, this.cluster.now)) {
				this.requests.add(new Request(key, owner, end));
				this.dispatched++;
			}
		}
	}

	private boolean idle(ShardState shard) {
		RecordBody.Service service = this.agent.view().service(shard.id().service()).orElseThrow();
		return this.requests.stream()
			.noneMatch((request) -> this.agent.view()
				.shard(service, request.key())
				.filter((state) -> state.id().equals(shard.id()))
				.isPresent());
	}

	private void sendHeartbeat(long now) {
		targets().stream()
			.flatMap((target) -> this.agent.view().shardsOf(target.spec().name()).stream())
			.filter((shard) -> shard.phase() == ShardPhase.RELEASING && idle(shard))
			.forEach((shard) -> this.agent.drained(shard.id(), shard.fence()));
		List<TargetEpoch> handedOver = targets().stream()
			.filter((target) -> this.agent.handOver(target.spec().name())
					&& this.requests.stream().noneMatch((request) -> request.target().equals(target.spec().name())))
			.map((target) -> new TargetEpoch(target.spec().name(), target.spec().bootId(), target.gateEpoch()))
			.toList();
		EntryHeartbeat heartbeat = this.agent
			.heartbeat(new GateReports(this.leaving, handedOver, List.of(), this.loads, this.hotKeys, Map.of()), now);
		this.cluster.later(() -> {
			if (this.cluster.leaderReachable) {
				EntryHeartbeatReply reply = this.cluster.controller.heartbeat(heartbeat, this.cluster.now);
				this.cluster.later(() -> receive(reply));
			}
		});
	}

	private void receive(EntryHeartbeatReply reply) throws InvariantViolatedException {
		if (this.running) {
			this.agent.reply(reply, this.cluster.now);
		}
	}

	private void sendGrant(String name, long now) {
		Grant grant = this.agent.nextGrant(name, now);
		this.awaited.put(name, grant);
		this.cluster.later(() -> Optional.ofNullable(this.cluster.targets.get(name))
			.flatMap((target) -> target.grant(grant, this.cluster.now))
			.ifPresent((reply) -> this.cluster.later(() -> {
				if (this.running && this.awaited.remove(name, grant)) {
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

	/**
	 * A request in flight.
	 *
	 * @param key the key
	 * @param target the target
	 * @param end when it is finished
	 */
	private record Request(String key, String target, long end) {
	}

}

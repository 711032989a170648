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
 * An entry instance that sends heartbeats and grants every 100 ms. At most one grant to a
 * target is in flight. Not thread safe.
 */
final class FakeEntry {

	private static final long PERIOD_NANOS = 100_000_000L;

	final EntrySpec spec;

	final EntryAgent agent;

	Map<String, Double> loads = Map.of();

	List<EntryHeartbeat.HotKey> hotKeys = List.of();

	private boolean running = true;

	private boolean connected = true;

	boolean leaving;

	long dispatchedRequests;

	private final ClusterHarness cluster;

	private final Map<String, Grant> grantsInFlight = new HashMap<>();

	private final Map<String, Long> grantSentAt = new HashMap<>();

	private final List<Request> requests = new ArrayList<>();

	private final List<ClusterHarness.Action> deferredMessages = new ArrayList<>();

	private final double clockRate;

	private long nextHeartbeat;

	FakeEntry(ClusterHarness cluster, EntrySpec spec) {
		this.cluster = cluster;
		this.spec = spec;
		this.clockRate = cluster.clockRate();
		this.agent = EntryAgents.create(spec, ControlTiming.DEFAULT);
		this.nextHeartbeat = cluster.now + Math.floorMod(spec.name().hashCode(), 20) * ClusterHarness.STEP_NANOS;
	}

	/**
	 * Pauses the entry instance or resumes it. On resumption it first processes the
	 * messages that arrived while it was paused.
	 * @throws InvariantViolatedException if an invariant does not hold
	 */
	void toggleRunning() throws InvariantViolatedException {
		this.running = !this.running;
		List<ClusterHarness.Action> deferred = List.copyOf(this.deferredMessages);
		this.deferredMessages.clear();
		for (ClusterHarness.Action action : deferred) {
			runOrDefer(action);
		}
	}

	private void runOrDefer(ClusterHarness.Action action) throws InvariantViolatedException {
		if (this.running) {
			action.run();
		}
		else {
			this.deferredMessages.add(action);
		}
	}

	private long clock() {
		return (long) (this.cluster.now * this.clockRate);
	}

	/**
	 * Interrupts or restores the connection to the control leader. The connections to the
	 * targets are not affected.
	 */
	void toggleConnected() {
		this.connected = !this.connected;
	}

	boolean connected() {
		return this.connected;
	}

	boolean running() {
		return this.running;
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
			this.nextHeartbeat = now + PERIOD_NANOS;
			sendHeartbeat();
		}
		for (TargetState target : targets()) {
			String name = target.spec().name();
			long wait = this.grantsInFlight.containsKey(name) ? ControlTiming.DEFAULT.grantTimeoutNanos()
					: PERIOD_NANOS;
			if (now - this.grantSentAt.getOrDefault(name, 0L) >= wait) {
				this.grantSentAt.put(name, now);
				sendGrant(name);
			}
		}
	}

	List<TargetState> targets() {
		return List.copyOf(this.agent.view().targetsOfGate(this.spec.name()));
	}

	void sendRequest(String key, long duration) {
		Optional<RecordBody.Service> service = this.agent.view().service(Fixtures.KEYED);
		Optional<ShardState> shard = service.flatMap((found) -> this.agent.view().shard(found, key));
		if (!this.running || shard.isEmpty()) {
			return;
		}
		String owner = shard.get().owner();
		if (this.agent.mayDispatch(owner, shard.get().id(), shard.get().fence(), clock())) {
			long epoch = this.agent.view().target(owner).orElseThrow().gateEpoch();
			long end = this.cluster.now + duration;
			if (this.cluster.targets.get(owner).start(key, shard.get().id(), epoch, end, this.cluster.now)) {
				this.requests.add(new Request(key, owner, end));
				this.dispatchedRequests++;
			}
		}
	}

	private boolean noRequestInFlight(ShardState shard) {
		RecordBody.Service service = this.agent.view().service(shard.id().service()).orElseThrow();
		return this.requests.stream()
			.noneMatch((request) -> this.agent.view()
				.shard(service, request.key())
				.filter((state) -> state.id().equals(shard.id()))
				.isPresent());
	}

	private void sendHeartbeat() {
		targets().stream()
			.flatMap((target) -> this.agent.view().shardsOf(target.spec().name()).stream())
			.filter((shard) -> shard.phase() == ShardPhase.RELEASING && noRequestInFlight(shard))
			.forEach((shard) -> this.agent.drained(shard.id(), shard.fence()));
		List<TargetEpoch> handedOver = targets().stream()
			.filter((target) -> this.agent.handoverRequested(target.spec().name())
					&& this.requests.stream().noneMatch((request) -> request.target().equals(target.spec().name())))
			.map((target) -> new TargetEpoch(target.spec().name(), target.spec().bootId(), target.gateEpoch()))
			.toList();
		EntryHeartbeat heartbeat = this.agent.nextHeartbeat(
				new GateReports(this.leaving, handedOver, List.of(), this.loads, this.hotKeys, Map.of()), clock());
		this.cluster.deliverLater(() -> {
			if (this.cluster.leaderReachable && this.connected) {
				EntryHeartbeatReply reply = this.cluster.controller.handleHeartbeat(heartbeat, this.cluster.now);
				this.cluster.deliverLater(() -> runOrDefer(() -> this.agent.handleHeartbeatReply(reply, clock())));
			}
		});
	}

	private void sendGrant(String name) {
		Grant grant = this.agent.nextGrant(name, clock());
		this.grantsInFlight.put(name, grant);
		this.cluster.deliverLater(() -> Optional.ofNullable(this.cluster.targets.get(name))
			.ifPresent((target) -> target.receive(grant,
					(reply) -> this.cluster.deliverLater(() -> runOrDefer(() -> grantReply(name, grant, reply))))));
	}

	private void grantReply(String name, Grant grant, GrantReply reply) {
		if (this.grantsInFlight.remove(name, grant)) {
			this.agent.handleGrantReply(name, grant.epoch(), reply, clock());
		}
	}

	boolean mayDispatch(ShardState shard) {
		return this.agent.mayDispatch(shard.owner(), shard.id(), shard.fence(), clock());
	}

	boolean mayDispatchTo(FakeTarget target) {
		return this.agent.view().shardsOf(target.spec.name()).stream().anyMatch(this::mayDispatch);
	}

	/**
	 * A request in flight.
	 *
	 * @param key the key of the request
	 * @param target the name of the target that runs the request
	 * @param end the virtual time in nanoseconds at which the request ends
	 */
	private record Request(String key, String target, long end) {
	}

}

package org.redwingramp.bench.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.EntryAgent;
import org.redwingramp.core.control.EntryAgents;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.GateReports;
import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.TargetSpec;

/**
 * A simulated entry instance: runs the entry agent under test, sends heartbeats to the
 * leader and renews the grants of its targets. Not thread safe.
 */
final class EntryProcess extends SimulatedProcess {

	private static final long GRANT_TICK_NANOS = 10 * Simulation.MILLISECOND;

	private final ControlWorkload workload;

	private final String failureDomain;

	private final ControlTiming timing;

	private final Map<String, PendingGrant> pendingGrants = new HashMap<>();

	private final Map<String, Long> lastGrantNanos = new HashMap<>();

	private final Set<InFlight> inFlight = new HashSet<>();

	private EntryAgent agent;

	private ControlClient client;

	private long lastGrantNumber;

	private boolean leaving;

	EntryProcess(String name, String failureDomain, ControlWorkload workload) {
		super(name, workload.cluster().simulation());
		this.workload = workload;
		this.failureDomain = failureDomain;
		this.timing = workload.timing();
		started();
	}

	EntryAgent agent() {
		return this.agent;
	}

	ControlClient client() {
		return this.client;
	}

	ControlWorkload workload() {
		return this.workload;
	}

	Set<InFlight> inFlight() {
		return this.inFlight;
	}

	void leave() {
		this.leaving = true;
	}

	@Override
	void started() {
		EntrySpec spec = new EntrySpec(name(), "127.0.0.1:70", this.failureDomain, name() + "-run-" + incarnation());
		this.agent = EntryAgents.create(spec, this.timing);
		this.client = this.workload.client(this);
		this.pendingGrants.clear();
		this.lastGrantNanos.clear();
		this.inFlight.clear();
		this.leaving = false;
		runAfter(simulation().between(1, 50), this::heartbeat);
		runAfter(simulation().between(1, 10), this::renewGrants);
	}

	void handleAnnouncement(TargetSpec spec, boolean leavingTarget) {
		Optional<TargetState> known = this.agent.view()
			.target(spec.name())
			.filter((state) -> state.spec().bootId().equals(spec.bootId()));
		if (leavingTarget) {
			known.ifPresent(this::drainOrRemove);
		}
		else if (known.isEmpty() || known.get().phase() == TargetPhase.LOST) {
			this.client.propose(new Command.AnnounceTarget(spec), (status, result) -> {
			});
		}
	}

	private void drainOrRemove(TargetState target) {
		String name = target.spec().name();
		if (target.phase() == TargetPhase.READY) {
			this.client.propose(new Command.DrainTarget(name, target.spec().bootId()), (status, result) -> {
			});
		}
		else if (this.agent.view().shardsOf(name).isEmpty()) {
			this.client.propose(new Command.TargetLeft(name, target.spec().bootId()), (status, result) -> {
			});
		}
	}

	private List<TargetState> targets() {
		return List.copyOf(this.agent.view().targetsOfGate(name()));
	}

	private void heartbeat() {
		targets().stream()
			.flatMap((target) -> this.agent.view().shardsOf(target.spec().name()).stream())
			.filter((shard) -> shard.phase() == ShardPhase.RELEASING && isIdle(shard))
			.forEach((shard) -> this.agent.drained(shard.id(), shard.fence()));
		List<EntryHeartbeat.TargetEpoch> handedOver = targets().stream()
			.filter((target) -> this.agent.handoverRequested(target.spec().name()) && isIdle(target.spec().name()))
			.map((target) -> new EntryHeartbeat.TargetEpoch(target.spec().name(), target.spec().bootId(),
					target.gateEpoch()))
			.toList();
		this.client.heartbeat(this.agent.nextHeartbeat(
				new GateReports(this.leaving, handedOver, List.of(), this.workload.loads(), List.of(), Map.of()),
				clock()), this::handleHeartbeatReply);
		runAfter(this.timing.entryHeartbeatNanos(), this::heartbeat);
	}

	private void handleHeartbeatReply(EntryHeartbeatReply reply) {
		long previous = this.agent.view().version();
		try {
			this.agent.handleHeartbeatReply(reply, clock());
		}
		catch (InvariantViolatedException ex) {
			this.workload.cluster().trace().violation(name() + ": " + ex.getMessage());
		}
		if (this.agent.view().version() < previous) {
			this.workload.cluster().trace().violation("the view of " + name() + " went back from version " + previous);
		}
	}

	private boolean isIdle(ShardState shard) {
		RecordBody.Service service = this.agent.view().service(shard.id().service()).orElseThrow();
		return this.inFlight.stream()
			.noneMatch((request) -> this.agent.view()
				.shard(service, request.key())
				.filter((state) -> state.id().equals(shard.id()))
				.isPresent());
	}

	private boolean isIdle(String target) {
		return this.inFlight.stream().noneMatch((request) -> request.target().equals(target));
	}

	private void renewGrants() {
		for (TargetState target : targets()) {
			String name = target.spec().name();
			long wait = this.pendingGrants.containsKey(name) ? this.timing.grantTimeoutNanos()
					: this.timing.grantRenewalNanos();
			if (clock() - this.lastGrantNanos.getOrDefault(name, 0L) >= wait) {
				this.lastGrantNanos.put(name, clock());
				sendGrant(name);
			}
		}
		runAfter(GRANT_TICK_NANOS, this::renewGrants);
	}

	private void sendGrant(String name) {
		Grant grant = this.agent.nextGrant(name, clock());
		long number = ++this.lastGrantNumber;
		this.pendingGrants.put(name, new PendingGrant(number, clock()));
		SimulatedNetwork network = this.workload.cluster().network();
		this.workload.target(name).ifPresent((target) -> network.sendOnce(name(), name, () -> target.run(() -> {
			GrantReply reply = target.grant(grant);
			network.sendOnce(name, name(), () -> run(() -> handleGrantReply(name, number, grant, reply)));
		})));
	}

	// Ignores a reply after the timeout, since the connection would have been closed.
	private void handleGrantReply(String name, long number, Grant grant, GrantReply reply) {
		PendingGrant awaited = this.pendingGrants.get(name);
		if (awaited != null && awaited.number() == number
				&& clock() - awaited.sentNanos() <= this.timing.grantTimeoutNanos()) {
			this.pendingGrants.remove(name);
			this.agent.handleGrantReply(name, grant.epoch(), reply, clock());
		}
	}

	/**
	 * A request that was sent to a target and may be running there.
	 *
	 * @param submission the number of the submission
	 * @param key the request's key
	 * @param target the name of the target
	 */
	record InFlight(long submission, String key, String target) {
	}

	private record PendingGrant(long number, long sentNanos) {
	}

}

package org.redwingramp.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.redwingramp.core.consensus.ReplicaEvent;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Role;

/**
 * The simulated cluster of one round: clock, network, control replicas, workload and
 * invariant checks. Not thread safe.
 */
final class SimulatedCluster {

	private static final List<String> REPLICAS = List.of("control-1", "control-2", "control-3");

	private static final long PEER_DISCOVERY_MILLIS = 150;

	private static final long LOG_CHECK_INTERVAL_MILLIS = 500;

	private final Simulation simulation;

	private final Trace trace;

	private final SimulatedNetwork network;

	private final ReplicaChecks checks;

	private final List<ReplicaProcess> replicas = new ArrayList<>();

	private final Workload workload;

	SimulatedCluster(long seed, Function<SimulatedCluster, Workload> workloadFactory) {
		this.simulation = new Simulation(seed);
		this.trace = new Trace(this.simulation);
		this.network = new SimulatedNetwork(this.simulation, this.trace);
		this.checks = new ReplicaChecks(this);
		this.workload = workloadFactory.apply(this);
		REPLICAS.forEach((name) -> this.replicas.add(new ReplicaProcess(name, this, this.workload::newStateMachine)));
		this.simulation.every(PEER_DISCOVERY_MILLIS, this::discoverPeers);
		this.simulation.every(LOG_CHECK_INTERVAL_MILLIS, this.checks::checkLogs);
		this.simulation.afterEachEvent(() -> {
			this.checks.afterEachEvent();
			this.workload.afterEachEvent();
		});
		this.workload.start();
	}

	Simulation simulation() {
		return this.simulation;
	}

	Trace trace() {
		return this.trace;
	}

	SimulatedNetwork network() {
		return this.network;
	}

	ReplicaChecks replicaChecks() {
		return this.checks;
	}

	Workload workload() {
		return this.workload;
	}

	List<String> replicaNames() {
		return REPLICAS;
	}

	List<ReplicaProcess> replicas() {
		return this.replicas;
	}

	Optional<ReplicaProcess> replica(ReplicaId id) {
		return this.replicas.stream().filter((process) -> process.running() && process.id().equals(id)).findFirst();
	}

	Optional<ReplicaProcess> replica(String name) {
		return this.replicas.stream().filter((process) -> process.name().equals(name)).findFirst();
	}

	/**
	 * Picks the replica that a proposal is sent to: mostly one in the leader role,
	 * sometimes a random one.
	 * @return the replica
	 */
	ReplicaProcess proposalReceiver() {
		ReplicaProcess any = this.replicas.get(this.simulation.random().nextInt(this.replicas.size()));
		boolean anyRole = this.simulation.chance(0.1);
		return this.replicas.stream()
			.filter((process) -> !anyRole && process.active() && process.replica().role() == Role.LEADER)
			.findFirst()
			.orElse(any);
	}

	private void discoverPeers() {
		for (ReplicaProcess one : this.replicas) {
			for (ReplicaProcess other : this.replicas) {
				if (one != other && one.running() && other.active()
						&& this.network.connected(one.name(), other.name())) {
					ReplicaId discovered = other.id();
					boolean empty = other.replica().role() == Role.BLANK;
					this.simulation.after(Simulation.MILLISECOND,
							() -> one.run(() -> one.handle(new ReplicaEvent.PeerDiscovered(discovered, empty))));
				}
			}
		}
	}

}

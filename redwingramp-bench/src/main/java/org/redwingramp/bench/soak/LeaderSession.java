package org.redwingramp.bench.soak;

import java.util.Optional;

import org.redwingramp.core.consensus.Role;
import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.Controller;
import org.redwingramp.core.control.Controllers;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.placement.PlacementPolicies;

/**
 * Runs the controller of a replica while that replica is the leader and holds the leader
 * lease. Not thread safe.
 */
final class LeaderSession {

	private final SimulatedCluster cluster;

	private final ReplicaProcess process;

	private final ObjectTable table;

	private final ControlTiming timing;

	private final long wallClockSkewMillis;

	private Optional<Controller> controller = Optional.empty();

	private Optional<ControlState> state = Optional.empty();

	private long term;

	LeaderSession(SimulatedCluster cluster, ReplicaProcess process, ObjectTable table, ControlTiming timing) {
		this.cluster = cluster;
		this.process = process;
		this.table = table;
		this.timing = timing;
		this.wallClockSkewMillis = cluster.simulation().random().nextInt(2000);
	}

	void start() {
		this.cluster.simulation()
			.every(this.timing.entryHeartbeatNanos() / Simulation.MILLISECOND / 2, () -> this.process.run(this::tick));
	}

	ReplicaProcess process() {
		return this.process;
	}

	Optional<EntryHeartbeatReply> heartbeat(EntryHeartbeat heartbeat) {
		return currentController().map((leader) -> leader.handleHeartbeat(heartbeat, this.process.clock()));
	}

	void propose(Command command, ProposalCallback callback) {
		if (this.process.replica().role() != Role.LEADER) {
			callback.done(ProposalCallback.Status.REFUSED, null);
			return;
		}
		long clockMillis = ControlWorkload.START_MILLIS + this.cluster.simulation().nowMillis()
				+ this.wallClockSkewMillis;
		this.process.propose(clockMillis, this.table.encode(command, 0), callback);
	}

	// Returns the applied state if this replica serves as leader.
	Optional<ControlState> servedState() {
		return currentController().flatMap((leader) -> this.state);
	}

	private Optional<Controller> currentController() {
		if (!this.process.serves()) {
			return Optional.empty();
		}
		Optional<ControlState> applied = ((ControlStateMachine) this.process.stateMachine()).state();
		boolean sameState = applied.isPresent() && this.state.isPresent() && applied.get() == this.state.get();
		if (this.controller.isEmpty() || this.term != this.process.replica().term() || !sameState) {
			this.term = this.process.replica().term();
			this.state = applied;
			this.controller = applied.map((present) -> Controllers.create(present, PlacementPolicies.balanced(),
					this.timing, this.process.clock(), this.term));
		}
		return this.controller;
	}

	private void tick() {
		currentController().ifPresent((leader) -> leader.tick(this.process.clock())
			.forEach((command) -> propose(command, (status, result) -> {
			})));
	}

}

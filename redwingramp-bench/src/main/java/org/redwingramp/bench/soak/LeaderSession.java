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
 * The controller of a replica while it leads and holds the lease. Not thread safe.
 */
final class LeaderSession {

	private final World world;

	private final ReplicaProcess process;

	private final ObjectTable table;

	private final ControlTiming timing;

	private final long wallSkewMillis;

	private Optional<Controller> controller = Optional.empty();

	private Optional<ControlState> state = Optional.empty();

	private long term;

	LeaderSession(World world, ReplicaProcess process, ObjectTable table, ControlTiming timing) {
		this.world = world;
		this.process = process;
		this.table = table;
		this.timing = timing;
		this.wallSkewMillis = world.simulation().random().nextInt(2000);
	}

	void start() {
		this.world.simulation()
			.every(this.timing.entryHeartbeatNanos() / Simulation.MILLISECOND / 2, () -> this.process.run(this::tick));
	}

	ReplicaProcess process() {
		return this.process;
	}

	Optional<EntryHeartbeatReply> heartbeat(EntryHeartbeat heartbeat) {
		return current().map((leader) -> leader.handleHeartbeat(heartbeat, this.process.clock()));
	}

	void propose(Command command, ProposalCallback callback) {
		if (this.process.replica().role() != Role.LEADER) {
			callback.done(ProposalCallback.Status.REFUSED, null);
			return;
		}
		long wall = ControlWorkload.START_MILLIS + this.world.simulation().nowMillis() + this.wallSkewMillis;
		this.process.propose(wall, this.table.encode(command, 0), callback);
	}

	// The state that a serving leader has applied.
	Optional<ControlState> servedState() {
		return current().flatMap((leader) -> this.state);
	}

	private Optional<Controller> current() {
		if (!this.process.serves()) {
			return Optional.empty();
		}
		Optional<ControlState> applied = ((ControlMachine) this.process.machine()).state();
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
		current().ifPresent((leader) -> leader.tick(this.process.clock())
			.forEach((command) -> propose(command, (status, result) -> {
			})));
	}

}

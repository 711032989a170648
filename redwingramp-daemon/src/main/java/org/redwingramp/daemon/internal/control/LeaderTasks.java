package org.redwingramp.daemon.internal.control;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.Controller;
import org.redwingramp.core.control.Controllers;
import org.redwingramp.core.placement.PlacementPolicy;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;

/**
 * Holds the controller for the term in which this replica is the leader, and logs the
 * decisions that it makes. Not thread safe; owned by the control loop.
 */
final class LeaderTasks {

	private final PlacementPolicy policy;

	private final ControlTiming timing;

	private Controller controller;

	private ControlState state;

	private long term = -1;

	LeaderTasks(PlacementPolicy policy, ControlTiming timing) {
		this.policy = policy;
		this.timing = timing;
	}

	// Returns the controller of a term. A new term or a replaced state needs a new
	// controller, which waits until the leases granted by the previous leader have
	// expired.
	Controller controller(ControlState currentState, long currentTerm, long now) {
		if (this.controller == null || this.term != currentTerm || this.state != currentState) {
			this.controller = Controllers.create(currentState, this.policy, this.timing, now, currentTerm);
			this.state = currentState;
			this.term = currentTerm;
		}
		return this.controller;
	}

	void logDecision(Command command) {
		if (command instanceof Command.AssignShards assign) {
			assign.assignments()
				.forEach((item) -> EventLog.log(Event.PLACEMENT,
						"assign shard=" + item.shard() + " target=" + item.target()));
		}
		else if (command instanceof Command.ReleaseShards release) {
			release.shards()
				.forEach((item) -> EventLog.log(Event.PLACEMENT,
						"release shard=" + item.shard() + " fence=" + item.fence()));
		}
		else if (command instanceof Command.AssignGates assign) {
			assign.assignments()
				.forEach((item) -> EventLog.log(Event.PLACEMENT, "assign gate target=" + item.target() + " entry="
						+ item.entry() + " epoch=" + (item.expectedEpoch() + 1)));
		}
		else if (!(command instanceof Command.ExpireLedger)) {
			EventLog.log(Event.PLACEMENT, command);
		}
	}

}

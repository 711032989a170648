package org.redwingramp.node.control;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetCommand;
import org.redwingramp.core.fleet.FleetController;
import org.redwingramp.core.fleet.FleetOutput;
import org.redwingramp.core.fleet.FleetSnapshot;
import org.redwingramp.core.fleet.FleetState;
import org.redwingramp.core.fleet.FleetTarget;
import org.redwingramp.core.fleet.TargetHeartbeat;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationKind;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.KeyReport;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.traffic.GrantMode;
import org.redwingramp.core.traffic.ServiceSpec;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.http.HttpServer;
import org.redwingramp.node.link.LinkWarmup;
import org.redwingramp.wire.CodecException;

/**
 * Loads the classes that a replica needs once it leads, on a separate thread while the
 * replica waits for its election. If the event loop loaded them, the first heartbeats of
 * a new leader would be delayed beyond the election timeout of the followers. Shares no
 * state with the event loop, so both can run concurrently.
 */
final class ControlWarmup {

	private static final String SERVICE = "s";

	private static final int TARGETS = 2;

	private final PlatformDialect dialect;

	private final EventWriter events;

	private ControlWarmup(PlatformDialect dialect, EventWriter events) {
		this.dialect = dialect;
		this.events = events;
	}

	static void start(PlatformDialect dialect, EventWriter events) {
		Thread thread = new Thread(new ControlWarmup(dialect, events)::run, "warm-up");
		thread.setDaemon(true);
		thread.start();
	}

	private void run() {
		try {
			HttpServer.warmUp();
			LinkWarmup.entryMessages();
			exerciseController();
			this.dialect.warmUp();
		}
		catch (CodecException | RuntimeException ex) {
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "warm up", "reason", ex);
		}
	}

	private static void exerciseController() {
		FleetState state = new FleetState(FleetSnapshot.EMPTY);
		FleetController controller = new FleetController(state, new ImmediateOutput(state), LeaseTiming.DEFAULT, 0);
		controller.services(List.of(new ServiceSpec(SERVICE, "/", 1, true, 0, 0, 0, GrantMode.CALL)));
		for (int i = 0; i < TARGETS; i++) {
			FleetTarget target = new FleetTarget("t-" + i, 1, SERVICE, "127.0.0.1:" + (i + 1), "d", 1,
					FleetTarget.Stage.SERVING);
			controller.heartbeat(new TargetHeartbeat(target, 0, 1, KeyReport.EMPTY), 0).ifPresent((command) -> {
				state.apply(command);
				controller.commandApplied(command, 0);
			});
		}
		KeyRange half = new KeyRange(0, KeyRange.KEYS / 2);
		state.apply(new FleetCommand.AssignKeys(SERVICE,
				List.of(new FleetCommand.Move(half, state.targets().iterator().next().owner()))));
		Observation limit = new Observation(ObservationKind.TARGET_LIMIT, "t-0", 1, 0);
		controller.report("e", new EntryReport(List.of(new EntryReport.TargetUse("t-0", 1, 1, 1)),
				List.of(new EntryReport.KeyUse(SERVICE, 1, 1)), List.of(limit)), 0);
		controller.reserve("t-0", 1, Optional.of(limit), 0, 0);
		FleetController restarted = new FleetController(state, new ImmediateOutput(state), LeaseTiming.DEFAULT, 0);
		restarted.services(List.of(new ServiceSpec(SERVICE, "/", 1, true, 0, 0, 0, GrantMode.CALL)));
		restarted.tick(LeaseTiming.DEFAULT.renewNanos());
		restarted.viewTargets(0);
		restarted.viewKeys();
		controller.viewObservations();
	}

	/**
	 * Applies proposed commands to the state immediately and sends nothing.
	 */
	private record ImmediateOutput(FleetState state) implements FleetOutput {

		@Override
		public void propose(FleetCommand command) {
			this.state.apply(command);
		}

		@Override
		public void grant(RangeLease lease, FleetTarget target, Optional<String> via) {
			// The sample targets don't exist, so nothing is sent.
		}

		@Override
		public void release(RangeLease lease, FleetTarget target, Optional<String> via) {
			// The sample targets don't exist, so nothing is sent.
		}

		@Override
		public void keysMoved(RangeLease lease, long ownerlessNanos) {
			// Moves of sample data aren't counted.
		}

		@Override
		public void decision(String event, Object... details) {
			// Decisions on sample data aren't logged.
		}

		@Override
		public void workFailed(String duty, String element, RuntimeException failure) {
			throw failure;
		}

	}

}

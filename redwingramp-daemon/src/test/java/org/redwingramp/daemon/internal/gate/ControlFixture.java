package org.redwingramp.daemon.internal.gate;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.ControlStates;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.RouteRule;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

/**
 * A control state that contains one keyed service with one slice, one target that owns
 * the slice, and one entry instance that is the target's gate.
 */
public final class ControlFixture {

	/** The name of the service. */
	public static final String SERVICE = "taller-svc";

	/** The name of the target. */
	public static final String TARGET = "taller-01";

	/** The name of the entry instance that is the gate. */
	public static final String GATE = "entry-1";

	private final ControlState state = ControlStates.create("cluster");

	private long index;

	public ControlFixture(String targetAddress) {
		List<RouteRule> routes = List.of(new RouteRule(List.of("GET"), "/", RequestClass.IDEMPOTENT, 0));
		RecordBody.Service service = new RecordBody.Service(SERVICE, KeySource.path(1), 1, 1, 10, 1_000, 5_000, 3_600,
				4, true, routes);
		apply(new Command.SubmitRecord(new OperatorRecord(1, SERVICE, 1, service, "digest", "text"), "test"));
		apply(new Command.RegisterEntry(new EntrySpec(GATE, "127.0.0.1:1", "zona-capital", "boot")));
		apply(new Command.AnnounceTarget(
				new TargetSpec(TARGET, SERVICE, targetAddress, "zona-capital", 1, 10, "boot", true)));
		apply(new Command.AssignGates(List.of(new Command.GateAssignment(TARGET, target().gateEpoch(), GATE))));
		apply(new Command.AssignShards(
				List.of(new Command.ShardAssignment(shard().id(), shard().fence(), TARGET, "boot"))));
	}

	/**
	 * Applies a command to the control state.
	 * @param command the command
	 */
	public void apply(Command command) {
		try {
			this.state.apply(++this.index, System.currentTimeMillis(), command);
		}
		catch (InvariantViolatedException ex) {
			throw new AssertionError(ex);
		}
	}

	ControlState state() {
		return this.state;
	}

	/**
	 * Returns the current view of the control state.
	 * @return the view
	 */
	public ControlView view() {
		return this.state.view();
	}

	TargetState target() {
		return view().target(TARGET).orElseThrow();
	}

	ShardState shard() {
		return view().shards(SERVICE).iterator().next();
	}

	GateRequest request(RequestClass requestClass, String identity, String body) {
		return new GateRequest(SERVICE, "POST", "/taller-svc/visits/wok", List.of(),
				body.getBytes(StandardCharsets.UTF_8), requestClass, identity, System.currentTimeMillis(), TARGET,
				target().gateEpoch(), "wok", ShardId.slice(SERVICE, 0), shard().fence(), 1_000);
	}

}

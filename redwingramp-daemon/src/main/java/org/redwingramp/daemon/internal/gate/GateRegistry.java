package org.redwingramp.daemon.internal.gate;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.routing.GateSettings;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;

/**
 * The gates of this instance by target. Thread safe.
 *
 * <p>
 * Invariant: a gate in the registry has the gate epoch of the view that was applied last;
 * a gate of an earlier epoch is retired and starts no request.
 */
public final class GateRegistry {

	/** The queue limit in requests if the view does not contain the service's record. */
	private static final int DEFAULT_QUEUE_LIMIT = 64;

	private final String instance;

	private final LongSupplier clock;

	private final Map<String, GateRuntime> gates = new ConcurrentHashMap<>();

	private final Queue<GateRuntime> retired = new ConcurrentLinkedQueue<>();

	public GateRegistry(String instance, LongSupplier clock) {
		this.instance = instance;
		this.clock = clock;
	}

	Optional<GateRuntime> find(String target, long epoch) {
		return Optional.ofNullable(this.gates.get(target)).filter((gate) -> gate.epoch() == epoch);
	}

	Optional<GateRuntime> find(String target) {
		return Optional.ofNullable(this.gates.get(target));
	}

	Collection<GateRuntime> all() {
		return List.copyOf(this.gates.values());
	}

	/**
	 * Returns whether no request is left at the retired gates of a target. Requests that
	 * started before a gate was retired may still be in flight.
	 * @param target the target's name
	 * @return whether no request is left
	 */
	boolean retiredGatesIdle(String target) {
		return this.retired.stream().filter((gate) -> gate.target().equals(target)).allMatch(GateRuntime::idle);
	}

	/**
	 * Returns the number of requests that hold a slot at this instance's gates.
	 * @return the number of requests in flight
	 */
	public int inFlight() {
		return this.gates.values().stream().mapToInt((gate) -> gate.status().inFlight()).sum();
	}

	/**
	 * Returns the number of requests that wait for a slot at this instance's gates.
	 * @return the number of waiting requests
	 */
	public int waiting() {
		return this.gates.values().stream().mapToInt((gate) -> gate.status().waiting()).sum();
	}

	/**
	 * Returns the number of gates.
	 * @return the number of targets that this instance is the gate of
	 */
	public int size() {
		return this.gates.size();
	}

	/**
	 * Creates and closes gates so that they match a view.
	 * @param view the view
	 */
	synchronized void reconcile(ControlView view) {
		Collection<TargetState> targets = view.targetsOfGate(this.instance);
		this.gates.values()
			.stream()
			.filter((gate) -> targets.stream().noneMatch((state) -> matches(gate, state)))
			.toList()
			.forEach((gate) -> close(gate, view));
		targets.stream()
			.filter((state) -> state.phase().needsGate())
			.filter((state) -> !this.gates.containsKey(state.spec().name()))
			.forEach((state) -> open(state, view));
	}

	private static boolean matches(GateRuntime gate, TargetState state) {
		return gate.target().equals(state.spec().name()) && gate.epoch() == state.gateEpoch()
				&& state.phase().needsGate();
	}

	private void open(TargetState state, ControlView view) {
		Optional<RecordBody.Service> service = view.service(state.spec().service());
		int slots = Math.max(1,
				service.map((record) -> Math.min(record.slots(), state.spec().slots())).orElse(state.spec().slots()));
		int queue = service.map(RecordBody.Service::queueLimit).orElse(DEFAULT_QUEUE_LIMIT);
		GateRuntime gate = new GateRuntime(state.spec().name(), state.gateEpoch(), GateSettings.of(slots, queue),
				this.clock);
		this.gates.put(state.spec().name(), gate);
		EventLog.log(Event.GATE_OPENED, state.spec().name(), state.gateEpoch(), slots);
	}

	private void close(GateRuntime gate, ControlView view) {
		this.gates.remove(gate.target(), gate);
		gate.retire();
		if (view.target(gate.target()).filter((state) -> state.phase() != TargetPhase.LOST).isEmpty()) {
			gate.cancelRetryable();
		}
		this.retired.removeIf(GateRuntime::idle);
		this.retired.add(gate);
		EventLog.log(Event.GATE_CLOSED, gate.target(), gate.epoch(),
				"the view states another gate, another gate epoch or no need for a gate");
	}

}

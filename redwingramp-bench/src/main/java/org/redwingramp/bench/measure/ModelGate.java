package org.redwingramp.bench.measure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.routing.StragglerDetector;
import org.redwingramp.core.routing.TargetGate;
import org.redwingramp.core.routing.TargetGate.GateEffect;
import org.redwingramp.core.routing.TargetGate.GateRequest;
import org.redwingramp.core.routing.TargetGate.GateResult;
import org.redwingramp.core.routing.TargetGate.GateStatus;

/**
 * Executes the effects that the production {@link TargetGate} decides on against a
 * modelled target. Not thread safe.
 */
final class ModelGate {

	private static final long TICK_NANOS = 10 * VirtualTime.MILLIS;

	private final Map<Long, Long> startedAt = new HashMap<>();

	private final VirtualTime time;

	private final Deployment deployment;

	private final String name;

	private final TargetGate gate;

	private final ModelTarget target;

	private final StragglerDetector detector;

	private final BiConsumer<Long, GateResult> onEnd;

	private int openConnections;

	private boolean opened = true;

	ModelGate(VirtualTime time, Deployment deployment, String name, TargetGate gate, ModelTarget target,
			StragglerDetector detector, BiConsumer<Long, GateResult> onEnd) {
		this.time = time;
		this.deployment = deployment;
		this.name = name;
		this.gate = gate;
		this.target = target;
		this.detector = detector;
		this.onEnd = onEnd;
		apply(gate.setOpen(true, time.now()));
		time.every(TICK_NANOS, () -> apply(this.gate.tick(this.time.now())));
	}

	void offer(long id, RequestClass requestClass, long deadline) {
		apply(this.gate.offer(new GateRequest(id, requestClass, deadline), this.time.now()));
	}

	/**
	 * Ends a send before its response arrives.
	 * @param id identifies the send
	 * @param result the reason for its end
	 */
	void abort(long id, GateResult result) {
		if (this.startedAt.containsKey(id)) {
			this.time.after(this.deployment.hopNanos(), () -> this.target.cancel(id));
			this.openConnections--;
			// A request whose hedge responded first was slow as well. If it weren't
			// counted, hedging would hide stragglers from the detector.
			this.detector.responseMissing(this.name, this.time.now() - this.startedAt.get(id), this.time.now());
			finish(id, result);
		}
		else {
			apply(this.gate.cancel(id, this.time.now()));
		}
	}

	boolean hasStarted(long id) {
		return this.startedAt.containsKey(id);
	}

	GateStatus status() {
		return this.gate.status(this.time.now());
	}

	void markCold() {
		this.gate.restartRamp(this.time.now());
	}

	/**
	 * Opens or closes the gate if it isn't in that state yet.
	 * @param open whether requests may start
	 */
	void setOpen(boolean open) {
		if (this.opened != open) {
			this.opened = open;
			apply(this.gate.setOpen(open, this.time.now()));
		}
	}

	private void apply(List<GateEffect> effects) {
		effects.forEach((effect) -> {
			if (effect instanceof GateEffect.Start) {
				start(effect.id());
			}
			else {
				this.onEnd.accept(effect.id(), GateResult.NOT_SENT);
			}
		});
	}

	private void start(long id) {
		this.startedAt.put(id, this.time.now());
		boolean newConnection = this.startedAt.size() > this.openConnections;
		this.openConnections += (newConnection) ? 1 : 0;
		long sendDelay = this.deployment.hopNanos() + ((newConnection) ? this.deployment.connectNanos() : 0);
		this.time.after(sendDelay, () -> {
			if (this.startedAt.containsKey(id)) {
				this.target.serve(id,
						(result) -> this.time.after(this.deployment.hopNanos(), () -> onResult(id, result)));
			}
		});
	}

	private void onResult(long id, GateResult result) {
		Long start = this.startedAt.get(id);
		if (start != null) {
			if (result == GateResult.ANSWERED) {
				this.detector.responseReceived(this.name, this.time.now() - start, this.time.now());
			}
			else {
				this.detector.responseMissing(this.name, this.time.now() - start, this.time.now());
			}
			this.onEnd.accept(id, result);
			finish(id, result);
		}
	}

	private void finish(long id, GateResult result) {
		this.startedAt.remove(id);
		apply(this.gate.finished(id, result, this.time.now()));
	}

}

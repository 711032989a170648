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
 * Executes the effects of one real gate against a stand-in target. Not thread safe.
 */
final class ModelGate {

	private static final long TICK = 10 * VirtualTime.MILLIS;

	private final Map<Long, Long> startedAt = new HashMap<>();

	private final VirtualTime time;

	private final Deployment deployment;

	private final String name;

	private final TargetGate gate;

	private final ModelTarget target;

	private final StragglerDetector detector;

	private final BiConsumer<Long, GateResult> ended;

	private int openConnections;

	private boolean renewed = true;

	ModelGate(VirtualTime time, Deployment deployment, String name, TargetGate gate, ModelTarget target,
			StragglerDetector detector, BiConsumer<Long, GateResult> ended) {
		this.time = time;
		this.deployment = deployment;
		this.name = name;
		this.gate = gate;
		this.target = target;
		this.detector = detector;
		this.ended = ended;
		apply(gate.open(true, time.now()));
		time.every(TICK, () -> apply(this.gate.tick(this.time.now())));
	}

	void offer(long id, RequestClass requestClass, long deadline) {
		apply(this.gate.offer(new GateRequest(id, requestClass, deadline), this.time.now()));
	}

	/**
	 * Ends a send before its answer.
	 * @param id the send
	 * @param result why it ends
	 */
	void end(long id, GateResult result) {
		if (this.startedAt.containsKey(id)) {
			this.time.after(this.deployment.hopNanos(), () -> this.target.cancel(id));
			this.openConnections--;
			// A request that lost against its hedge was slow too: without this the hedges
			// would hide a straggler.
			this.detector.unanswered(this.name, this.time.now() - this.startedAt.get(id), this.time.now());
			finish(id, result);
		}
		else {
			apply(this.gate.cancel(id, this.time.now()));
		}
	}

	boolean started(long id) {
		return this.startedAt.containsKey(id);
	}

	GateStatus status() {
		return this.gate.status(this.time.now());
	}

	void cold() {
		this.gate.cold(this.time.now());
	}

	/**
	 * Opens or closes the gate.
	 * @param open whether requests may start
	 */
	void open(boolean open) {
		if (this.renewed != open) {
			this.renewed = open;
			apply(this.gate.open(open, this.time.now()));
		}
	}

	private void apply(List<GateEffect> effects) {
		effects.forEach((effect) -> {
			if (effect instanceof GateEffect.Start) {
				start(effect.id());
			}
			else {
				this.ended.accept(effect.id(), GateResult.NOT_SENT);
			}
		});
	}

	private void start(long id) {
		this.startedAt.put(id, this.time.now());
		boolean fresh = this.startedAt.size() > this.openConnections;
		this.openConnections += (fresh) ? 1 : 0;
		long delay = this.deployment.hopNanos() + ((fresh) ? this.deployment.connectNanos() : 0);
		this.time.after(delay, () -> {
			if (this.startedAt.containsKey(id)) {
				this.target.serve(id, (result) -> this.time.after(this.deployment.hopNanos(), () -> done(id, result)));
			}
		});
	}

	private void done(long id, GateResult result) {
		Long start = this.startedAt.get(id);
		if (start != null) {
			if (result == GateResult.ANSWERED) {
				this.detector.answered(this.name, this.time.now() - start, this.time.now());
			}
			else {
				this.detector.unanswered(this.name, this.time.now() - start, this.time.now());
			}
			this.ended.accept(id, result);
			finish(id, result);
		}
	}

	private void finish(long id, GateResult result) {
		this.startedAt.remove(id);
		apply(this.gate.finished(id, result, this.time.now()));
	}

}

package org.redwingramp.core.routing.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.routing.GateSettings;
import org.redwingramp.core.routing.TargetGate;

/**
 * Admits requests up to the ramp's limit and holds the rest in a bounded queue. Not
 * thread safe; one thread owns it or a lock guards it.
 */
public final class SlotGate implements TargetGate {

	private static final double SMOOTHING = 0.125;

	private final GateSettings settings;

	private final Ramp ramp;

	private final AdmissionQueue queue;

	private final Map<Long, Send> startedAt = new HashMap<>();

	private double serviceNanos;

	private boolean open;

	/**
	 * Creates a closed gate.
	 * @param settings the settings
	 * @param normalNanos the normal service time, 0 if unknown
	 */
	public SlotGate(GateSettings settings, long normalNanos) {
		if (settings.slots() < 1 || settings.queueLimit() < 0 || normalNanos < 0) {
			throw new IllegalArgumentException("a gate needs at least one slot, a queue limit and a normal service"
					+ " time of at least 0, but got " + settings + " and " + normalNanos + " ns");
		}
		this.settings = settings;
		this.ramp = new Ramp(settings.slots(), settings.ramp(), normalNanos);
		this.queue = new AdmissionQueue(settings.queueLimit());
		this.serviceNanos = normalNanos;
	}

	@Override
	public List<GateEffect> offer(GateRequest request, long now) {
		if (this.startedAt.containsKey(request.id()) || this.queue.contains(request.id())) {
			throw new IllegalArgumentException("request " + request.id() + " is already at this gate");
		}
		int priority = request.requestClass().priority();
		if (tooLate(request, rounds(this.queue.ahead(priority)), now)) {
			return List.of(new GateEffect.Refuse(request.id(), Refusal.DEADLINE));
		}
		List<GateEffect> effects = new ArrayList<>(start(now));
		if (canStart() && this.queue.size() == 0) {
			this.startedAt.put(request.id(), new Send(now, request.deadline(), this.ramp.restarts()));
			effects.add(new GateEffect.Start(request.id()));
		}
		else {
			enqueue(request, effects);
		}
		return checked(effects);
	}

	@Override
	public List<GateEffect> finished(long id, GateResult result, long now) {
		Send send = this.startedAt.remove(id);
		if (send == null) {
			throw new IllegalArgumentException("request " + id + " finished at this gate but isn't in flight");
		}
		if (result == GateResult.ANSWERED || (!result.healthy() && !cutShort(send, result, now))) {
			observe(send, now - send.start(), !result.healthy());
		}
		return checked(start(now));
	}

	@Override
	public List<GateEffect> cancel(long id, long now) {
		this.queue.remove(id);
		return checked(start(now));
	}

	@Override
	public List<GateEffect> open(boolean open, long now) {
		this.open = open;
		return checked(start(now));
	}

	@Override
	public void cold(long now) {
		this.ramp.restart();
	}

	@Override
	public List<GateEffect> tick(long now) {
		List<GateEffect> effects = new ArrayList<>();
		this.queue.removeIf((request) -> tooLate(request, 0, now))
			.forEach((request) -> effects.add(new GateEffect.Refuse(request.id(), Refusal.DEADLINE)));
		effects.addAll(start(now));
		return checked(effects);
	}

	@Override
	public GateStatus status(long now) {
		return new GateStatus(this.settings.slots(), this.ramp.limit(), this.startedAt.size(), this.queue.size(),
				this.ramp.warm(), (long) this.serviceNanos);
	}

	// A request whose deadline came sooner than a normal answer says nothing: under
	// overload, requests that waited long would make a healthy target look cold.
	private boolean cutShort(Send send, GateResult result, long now) {
		return result == GateResult.LOST && now >= send.deadline() && !this.ramp.slow(now - send.start());
	}

	private void observe(Send send, long nanos, boolean failed) {
		// Answers to requests from before a restart of the ramp say nothing about the
		// limit in force.
		if (send.restarts() == this.ramp.restarts()) {
			this.ramp.add(nanos, failed);
		}
		// A fast refusal by the target says nothing about how long the work takes.
		double sample = (failed) ? Math.max(nanos, this.serviceNanos) : nanos;
		this.serviceNanos += (this.serviceNanos == 0) ? sample : SMOOTHING * (sample - this.serviceNanos);
	}

	private boolean canStart() {
		return this.open && this.startedAt.size() < this.ramp.limit();
	}

	private List<GateEffect> start(long now) {
		List<GateEffect> effects = new ArrayList<>();
		while (canStart()) {
			Optional<GateRequest> next = this.queue.poll();
			if (next.isEmpty()) {
				break;
			}
			long id = next.get().id();
			if (tooLate(next.get(), 0, now)) {
				effects.add(new GateEffect.Refuse(id, Refusal.DEADLINE));
			}
			else {
				this.startedAt.put(id, new Send(now, next.get().deadline(), this.ramp.restarts()));
				effects.add(new GateEffect.Start(id));
			}
		}
		return effects;
	}

	private void enqueue(GateRequest request, List<GateEffect> effects) {
		Optional<GateRequest> displaced = (this.queue.full()) ? this.queue.displace(request.requestClass().priority())
				: Optional.empty();
		displaced.ifPresent((other) -> effects.add(new GateEffect.Refuse(other.id(), Refusal.DISPLACED)));
		if (this.queue.full()) {
			effects.add(new GateEffect.Refuse(request.id(), Refusal.QUEUE_FULL));
		}
		else {
			this.queue.add(request);
		}
	}

	private double rounds(int ahead) {
		int limit = this.ramp.limit();
		return Math.max(0, this.startedAt.size() + ahead + 1.0 - limit) / limit;
	}

	// An idle target is always tried: without an answer an outdated estimate of the
	// service time would refuse everything.
	private boolean tooLate(GateRequest request, double rounds, long now) {
		long remaining = request.deadline() - now;
		boolean estimated = this.settings.earlyRefusal() && !this.startedAt.isEmpty();
		return remaining <= 0 || (estimated && (rounds + 1) * this.serviceNanos > remaining);
	}

	private List<GateEffect> checked(List<GateEffect> effects) {
		long starts = effects.stream().filter(GateEffect.Start.class::isInstance).count();
		if (this.startedAt.size() > this.settings.slots()
				|| (starts > 0 && this.startedAt.size() > this.ramp.limit())) {
			throw new IllegalStateException("the gate has " + this.startedAt.size() + " requests in flight, above its"
					+ " limit " + this.ramp.limit() + " or the target's " + this.settings.slots() + " slots");
		}
		return effects;
	}

	/**
	 * A started request.
	 *
	 * @param start when it started
	 * @param deadline when the answer must be there
	 * @param restarts the restarts of the ramp until then
	 */
	private record Send(long start, long deadline, int restarts) {
	}

}

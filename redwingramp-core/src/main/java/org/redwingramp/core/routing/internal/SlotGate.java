package org.redwingramp.core.routing.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.routing.GateSettings;
import org.redwingramp.core.routing.TargetGate;

/**
 * A gate that starts requests up to the limit of its {@link Ramp} and holds others in an
 * {@link AdmissionQueue}. Not thread safe; it is confined to one thread or guarded by a
 * lock.
 */
public final class SlotGate implements TargetGate {

	/** The weight of a new sample in the smoothed service time. */
	private static final double SMOOTHING = 0.125;

	private final GateSettings settings;

	private final Ramp ramp;

	private final AdmissionQueue queue;

	private final Map<Long, StartedRequest> inFlight = new HashMap<>();

	private double serviceNanos;

	private boolean open;

	/**
	 * Creates a closed gate.
	 * @param settings the gate's settings
	 * @param normalNanos the normal service time in nanoseconds, 0 if unknown
	 */
	public SlotGate(GateSettings settings, long normalNanos) {
		if (settings.slots() < 1 || settings.queueLimit() < 0 || normalNanos < 0) {
			throw new IllegalArgumentException("a gate needs at least one slot, and its queue limit and normal"
					+ " service time must not be negative (was " + settings + ", " + normalNanos + " ns)");
		}
		this.settings = settings;
		this.ramp = new Ramp(settings.slots(), settings.ramp(), normalNanos);
		this.queue = new AdmissionQueue(settings.queueLimit());
		this.serviceNanos = normalNanos;
	}

	@Override
	public List<GateEffect> offer(GateRequest request, long now) {
		if (this.inFlight.containsKey(request.id()) || this.queue.contains(request.id())) {
			throw new IllegalArgumentException(
					"request " + request.id() + " is already waiting or in flight at this gate");
		}
		int priority = request.requestClass().priority();
		if (willMissDeadline(request, roundsUntilStart(this.queue.countAhead(priority)), now)) {
			return List.of(new GateEffect.Refuse(request.id(), Refusal.DEADLINE));
		}
		List<GateEffect> effects = new ArrayList<>(startWaiting(now));
		if (canStart() && this.queue.size() == 0) {
			this.inFlight.put(request.id(), new StartedRequest(now, request.deadline(), this.ramp.restarts()));
			effects.add(new GateEffect.Start(request.id()));
		}
		else {
			enqueue(request, effects);
		}
		return checkLimits(effects);
	}

	@Override
	public List<GateEffect> finished(long id, GateResult result, long now) {
		StartedRequest started = this.inFlight.remove(id);
		if (started == null) {
			throw new IllegalArgumentException(
					"request " + id + " was reported as finished but is not in flight at this gate");
		}
		if (result == GateResult.ANSWERED
				|| (!result.healthy() && !expiredBeforeNormalResponse(started, result, now))) {
			recordSample(started, now - started.startNanos(), !result.healthy());
		}
		return checkLimits(startWaiting(now));
	}

	@Override
	public List<GateEffect> cancel(long id, long now) {
		this.queue.remove(id);
		return checkLimits(startWaiting(now));
	}

	@Override
	public List<GateEffect> setOpen(boolean open, long now) {
		this.open = open;
		return checkLimits(startWaiting(now));
	}

	@Override
	public void restartRamp(long now) {
		this.ramp.restart();
	}

	@Override
	public List<GateEffect> tick(long now) {
		List<GateEffect> effects = new ArrayList<>();
		this.queue.removeIf((request) -> willMissDeadline(request, 0, now))
			.forEach((request) -> effects.add(new GateEffect.Refuse(request.id(), Refusal.DEADLINE)));
		effects.addAll(startWaiting(now));
		return checkLimits(effects);
	}

	@Override
	public GateStatus status(long now) {
		return new GateStatus(this.settings.slots(), this.ramp.limit(), this.inFlight.size(), this.queue.size(),
				this.ramp.warm(), (long) this.serviceNanos);
	}

	// A request whose deadline passed before a normal response could arrive doesn't show
	// that the target is cold: under overload, requests that have waited long in the
	// queue reach their deadline soon after they start, although the target is healthy.
	private boolean expiredBeforeNormalResponse(StartedRequest started, GateResult result, long now) {
		return result == GateResult.LOST && now >= started.deadline() && !this.ramp.slow(now - started.startNanos());
	}

	private void recordSample(StartedRequest started, long nanos, boolean failed) {
		// Responses to requests that started before the ramp was restarted don't
		// show whether the target can handle the current limit.
		if (started.rampRestarts() == this.ramp.restarts()) {
			this.ramp.add(nanos, failed);
		}
		// A fast failure doesn't show how long the target takes to process a request, so
		// it must not reduce the estimate.
		double sample = (failed) ? Math.max(nanos, this.serviceNanos) : nanos;
		this.serviceNanos += (this.serviceNanos == 0) ? sample : SMOOTHING * (sample - this.serviceNanos);
	}

	private boolean canStart() {
		return this.open && this.inFlight.size() < this.ramp.limit();
	}

	private List<GateEffect> startWaiting(long now) {
		List<GateEffect> effects = new ArrayList<>();
		while (canStart()) {
			Optional<GateRequest> next = this.queue.poll();
			if (next.isEmpty()) {
				break;
			}
			long id = next.get().id();
			if (willMissDeadline(next.get(), 0, now)) {
				effects.add(new GateEffect.Refuse(id, Refusal.DEADLINE));
			}
			else {
				this.inFlight.put(id, new StartedRequest(now, next.get().deadline(), this.ramp.restarts()));
				effects.add(new GateEffect.Start(id));
			}
		}
		return effects;
	}

	private void enqueue(GateRequest request, List<GateEffect> effects) {
		Optional<GateRequest> displaced = (this.queue.full())
				? this.queue.removeLowerPriority(request.requestClass().priority()) : Optional.empty();
		displaced.ifPresent((other) -> effects.add(new GateEffect.Refuse(other.id(), Refusal.DISPLACED)));
		if (this.queue.full()) {
			effects.add(new GateEffect.Refuse(request.id(), Refusal.QUEUE_FULL));
		}
		else {
			this.queue.add(request);
		}
	}

	// Estimates the wait of a request before its start, in multiples of the service time,
	// by the number of waiting requests ahead of it.
	private double roundsUntilStart(int ahead) {
		int limit = this.ramp.limit();
		return Math.max(0, this.inFlight.size() + ahead + 1.0 - limit) / limit;
	}

	// An idle target is tried regardless of the estimated service time: an outdated
	// estimate would otherwise refuse every request, and no response would correct it.
	private boolean willMissDeadline(GateRequest request, double roundsUntilStart, long now) {
		long remaining = request.deadline() - now;
		boolean checkEstimate = this.settings.earlyRefusal() && !this.inFlight.isEmpty();
		return remaining <= 0 || (checkEstimate && (roundsUntilStart + 1) * this.serviceNanos > remaining);
	}

	private List<GateEffect> checkLimits(List<GateEffect> effects) {
		long starts = effects.stream().filter(GateEffect.Start.class::isInstance).count();
		if (this.inFlight.size() > this.settings.slots() || (starts > 0 && this.inFlight.size() > this.ramp.limit())) {
			throw new IllegalStateException(
					"requests in flight must not exceed the limit " + this.ramp.limit() + " at a start, nor the "
							+ this.settings.slots() + " slots of the target (was " + this.inFlight.size() + ")");
		}
		return effects;
	}

	/**
	 * A request in flight.
	 *
	 * @param startNanos the monotonic time in nanoseconds at which it started
	 * @param deadline the monotonic time in nanoseconds by which the response is required
	 * @param rampRestarts the number of restarts of the ramp when the request started
	 */
	private record StartedRequest(long startNanos, long deadline, int rampRestarts) {
	}

}

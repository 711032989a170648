package org.redwingramp.core.control.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.placement.PlacementPolicy.TargetCapacity;

/**
 * The relative capacity of each target in the placement of shards: reduced for targets
 * that have recently become ready (slow start) and for slow targets. Not thread safe.
 */
final class TargetWeights {

	/**
	 * The duration of the slow start: a target that becomes ready reaches its full weight
	 * after this time.
	 */
	static final long SLOW_START_NANOS = 10_000_000_000L;

	private static final double MIN_FACTOR = 0.1;

	/**
	 * The ratio of a target's service time to the median of its service up to which the
	 * target keeps its full weight, so that no shards are moved away.
	 */
	private static final double MAX_NORMAL_SLOWNESS = 1.5;

	private final LoadStatistics loads;

	private final long startedAt;

	private final Map<String, Long> readySince = new HashMap<>();

	TargetWeights(LoadStatistics loads, long startedAt) {
		this.loads = loads;
		this.startedAt = startedAt;
	}

	void observe(ControlView view, Collection<TargetState> targets, long now) {
		Set<String> ready = targets.stream()
			.filter((target) -> acceptsShards(target, view))
			.map(TargetWeights::incarnation)
			.collect(Collectors.toSet());
		this.readySince.keySet().retainAll(ready);
		// A target that owns shards at its first observation was ready before this
		// leader's term, so it needs no slow start.
		targets.stream()
			.filter((target) -> ready.contains(incarnation(target)))
			.forEach((target) -> this.readySince.putIfAbsent(incarnation(target),
					view.shardsOf(target.spec().name()).isEmpty() ? now : this.startedAt - SLOW_START_NANOS));
	}

	private static String incarnation(TargetState target) {
		return target.spec().name() + "/" + target.spec().bootId();
	}

	static boolean acceptsShards(TargetState target, ControlView view) {
		return target.phase() == TargetPhase.READY && view.domainAcceptsWork(target.spec().failureDomain());
	}

	TargetCapacity capacity(TargetState target, RecordBody.Service service, ControlView view, long now) {
		long since = this.readySince.getOrDefault(incarnation(target), now);
		double slowStart = Math.min(1, MIN_FACTOR + (1 - MIN_FACTOR) * (now - since) / SLOW_START_NANOS);
		double slowness = this.loads.slowness(target.spec().name(), now);
		double speed = (slowness > MAX_NORMAL_SLOWNESS) ? Math.max(MIN_FACTOR, 1 / slowness) : 1;
		int slots = Math.max(1, Math.min(target.spec().slots(), service.slots()));
		return new TargetCapacity(target.spec().name(), target.spec().failureDomain(), acceptsShards(target, view),
				slowStart * speed * slots);
	}

}

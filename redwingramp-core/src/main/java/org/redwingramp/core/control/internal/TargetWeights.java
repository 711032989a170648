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
 * The share of the load that each target is to get: less for those that have just
 * returned and for slow ones. Not thread safe.
 */
final class TargetWeights {

	/** A target that returns reaches its whole share after this time. */
	static final long RETURN_NANOS = 10_000_000_000L;

	private static final double LEAST = 0.1;

	/** Below this ratio a target isn't slow enough to move shards. */
	private static final double SLOW_RATIO = 1.5;

	private final LoadBook loads;

	private final long startedAt;

	private final Map<String, Long> readySince = new HashMap<>();

	TargetWeights(LoadBook loads, long startedAt) {
		this.loads = loads;
		this.startedAt = startedAt;
	}

	void observe(ControlView view, Collection<TargetState> targets, long now) {
		Set<String> ready = targets.stream()
			.filter((target) -> takesShards(target, view))
			.map(TargetWeights::run)
			.collect(Collectors.toSet());
		this.readySince.keySet().retainAll(ready);
		// A target that already owns shards took its load before this leader's term.
		targets.stream()
			.filter((target) -> ready.contains(run(target)))
			.forEach((target) -> this.readySince.putIfAbsent(run(target),
					view.shardsOf(target.spec().name()).isEmpty() ? now : this.startedAt - RETURN_NANOS));
	}

	private static String run(TargetState target) {
		return target.spec().name() + "/" + target.spec().bootId();
	}

	static boolean takesShards(TargetState target, ControlView view) {
		return target.phase() == TargetPhase.READY && view.domainTakesWork(target.spec().failureDomain());
	}

	TargetCapacity capacity(TargetState target, RecordBody.Service service, ControlView view, long now) {
		long since = this.readySince.getOrDefault(run(target), now);
		double returned = Math.min(1, LEAST + (1 - LEAST) * (now - since) / RETURN_NANOS);
		double slowness = this.loads.slowness(target.spec().name(), now);
		double speed = (slowness > SLOW_RATIO) ? Math.max(LEAST, 1 / slowness) : 1;
		int slots = Math.max(1, Math.min(target.spec().slots(), service.slots()));
		return new TargetCapacity(target.spec().name(), target.spec().failureDomain(), takesShards(target, view),
				returned * speed * slots);
	}

}

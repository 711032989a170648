package org.redwingramp.core.control.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.RecordBody;

/**
 * Proposes the removal of targets that have been lost for a long time. Otherwise the
 * state would grow with each replaced target. Not thread safe.
 */
final class LostTargets {

	/** Long enough for an operator to notice the loss. */
	static final long REMOVAL_DELAY_NANOS = 600_000_000_000L;

	private final Map<String, Long> lostSince = new HashMap<>();

	void propose(ControlView view, Proposals proposals, long now) {
		Map<String, TargetState> lost = view.records()
			.stream()
			.map(RecordState::record)
			.filter((record) -> record.body() instanceof RecordBody.Service)
			.flatMap((record) -> view.targets(record.name()).stream())
			.filter((target) -> TargetRules.isLost(target, view))
			.collect(Collectors.toMap((target) -> target.spec().name(), (target) -> target));
		this.lostSince.keySet().retainAll(Set.copyOf(lost.keySet()));
		lost.keySet().stream().sorted().forEach((name) -> {
			long since = this.lostSince.computeIfAbsent(name, (key) -> now);
			if (now - since >= REMOVAL_DELAY_NANOS) {
				proposals.add(new Command.TargetLeft(name, lost.get(name).spec().bootId()));
			}
		});
	}

}

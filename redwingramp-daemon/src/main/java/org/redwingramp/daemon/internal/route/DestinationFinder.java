package org.redwingramp.daemon.internal.route;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.routing.TargetChooser;
import org.redwingramp.daemon.internal.gate.GateRequest;

/**
 * Finds the target and the gate of a request. Thread safe; the chooser is used under a
 * lock.
 */
final class DestinationFinder {

	private final String instance;

	private final TargetChooser chooser;

	private final TargetLoads loads;

	private final ServiceHealth health;

	DestinationFinder(String instance, TargetChooser chooser, TargetLoads loads, ServiceHealth health) {
		this.instance = instance;
		this.chooser = chooser;
		this.loads = loads;
		this.health = health;
	}

	/**
	 * Finds the destination of a request.
	 * @param request the request
	 * @param view the view
	 * @param tried the targets that were tried already, for services without keys
	 * @return the destination, or empty if no target can take it now
	 */
	Optional<Destination> find(RoutedRequest request, ControlView view, Set<String> tried) {
		return request.service().keySource().keyed() ? owner(request, view) : choose(request, view, tried);
	}

	private Optional<Destination> owner(RoutedRequest request, ControlView view) {
		Optional<ShardState> shard = view.shard(request.service(), request.key())
			.filter((state) -> state.phase().dispatchable());
		return shard
			.flatMap((state) -> view.target(state.owner()).flatMap((target) -> destination(view, target, state)));
	}

	private Optional<Destination> destination(ControlView view, TargetState target, ShardState shard) {
		return gateAddress(view, target).map((address) -> new Destination(target, shard.id(), shard.fence(), address));
	}

	private Optional<Destination> choose(RoutedRequest request, ControlView view, Set<String> tried) {
		Set<String> ejected = this.health.ejected(request.service().name());
		List<TargetChooser.Candidate> candidates = view.targets(request.service().name())
			.stream()
			.filter((target) -> target.phase() == TargetPhase.READY)
			.filter((target) -> view.domainAcceptsWork(target.spec().failureDomain()))
			.filter((target) -> !tried.contains(target.spec().name()))
			.filter((target) -> gateAddress(view, target).isPresent())
			.map((target) -> candidate(target, ejected))
			.toList();
		Optional<String> chosen;
		synchronized (this.chooser) {
			chosen = this.chooser.choose(candidates);
		}
		return chosen.flatMap(view::target)
			.flatMap((target) -> gateAddress(view, target)
				.map((address) -> new Destination(target, GateRequest.NO_SHARD, 0, address)));
	}

	private TargetChooser.Candidate candidate(TargetState target, Set<String> ejected) {
		String name = target.spec().name();
		return new TargetChooser.Candidate(name, target.spec().slots(), this.loads.busy(name),
				this.loads.serviceNanos(name), ejected.contains(name));
	}

	private Optional<String> gateAddress(ControlView view, TargetState target) {
		if (target.gate().isEmpty()) {
			return Optional.empty();
		}
		return target.gate().equals(this.instance) ? Optional.of("")
				: view.entry(target.gate()).map((entry) -> entry.spec().address());
	}

}

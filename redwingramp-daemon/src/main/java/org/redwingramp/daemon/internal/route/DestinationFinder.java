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
 * Selects the target of a request and looks up the target's gate. A request with a key
 * goes to the owner of its shard; other requests are balanced over the service's targets.
 * Thread safe; access to the chooser is guarded by a lock.
 */
final class DestinationFinder {

	private final String instance;

	private final TargetChooser chooser;

	private final TargetLoads loads;

	private final ServicePolicies policies;

	DestinationFinder(String instance, TargetChooser chooser, TargetLoads loads, ServicePolicies policies) {
		this.instance = instance;
		this.chooser = chooser;
		this.loads = loads;
		this.policies = policies;
	}

	/**
	 * Finds the destination of a request.
	 * @param request the request
	 * @param view the control view to look up shards, targets and gates in
	 * @param excluded the targets not to choose, used for services without keys only
	 * @return the destination, or empty if no target can accept the request in this view
	 */
	Optional<Destination> find(RoutedRequest request, ControlView view, Set<String> excluded) {
		return request.service().keySource().keyed() ? findOwner(request, view) : chooseTarget(request, view, excluded);
	}

	private Optional<Destination> findOwner(RoutedRequest request, ControlView view) {
		Optional<ShardState> shard = view.shard(request.service(), request.key())
			.filter((state) -> state.phase().dispatchable());
		return shard
			.flatMap((state) -> view.target(state.owner()).flatMap((target) -> destination(view, target, state)));
	}

	private Optional<Destination> destination(ControlView view, TargetState target, ShardState shard) {
		return gateAddress(view, target).map((address) -> new Destination(target, shard.id(), shard.fence(), address));
	}

	private Optional<Destination> chooseTarget(RoutedRequest request, ControlView view, Set<String> excluded) {
		Set<String> ejected = this.policies.ejectedTargets(request.service().name());
		List<TargetChooser.Candidate> candidates = view.targets(request.service().name())
			.stream()
			.filter((target) -> target.phase() == TargetPhase.READY)
			.filter((target) -> view.domainAcceptsWork(target.spec().failureDomain()))
			.filter((target) -> !excluded.contains(target.spec().name()))
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
		return new TargetChooser.Candidate(name, target.spec().slots(), this.loads.outstandingRequests(name),
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

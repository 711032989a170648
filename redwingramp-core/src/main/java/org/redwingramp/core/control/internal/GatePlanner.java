package org.redwingramp.core.control.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.Command.GateAssignment;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeat.TargetEpoch;
import org.redwingramp.core.control.EntryState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;

/**
 * Chooses the entry instance that is the gate of each target. Not thread safe.
 *
 * <p>
 * Invariant: a gate is replaced only after the lease of its entry instance has expired,
 * or after that instance has handed the target over.
 */
final class GatePlanner {

	/**
	 * How many more targets than the others an entry instance in the target's failure
	 * domain may have and still be preferred.
	 */
	private static final double DOMAIN_PREFERENCE = 1.5;

	/**
	 * The lowest difference in the number of targets at which a gate is moved. Smaller
	 * differences aren't worth a ramp that starts cold at the new gate.
	 */
	private static final int REBALANCE_DIFFERENCE = 3;

	private static final long REBALANCE_INTERVAL_NANOS = 500_000_000L;

	private final EntryLeases leases;

	private final long firstAssignmentAt;

	private final Set<TargetEpoch> rebalancing = new HashSet<>();

	private long nextRebalance;

	private Set<String> availableGates = Set.of();

	GatePlanner(EntryLeases leases, ControlTiming timing, long electedAt) {
		this.leases = leases;
		// Every live entry instance sends a heartbeat within this time. Assigning earlier
		// would give all gates to the first instance that sends one.
		this.firstAssignmentAt = electedAt + 2 * timing.entryHeartbeatNanos();
		this.nextRebalance = electedAt + timing.grantorWaitNanos(timing.gateLeaseNanos());
	}

	void propose(ControlView view, Proposals proposals, long now) {
		List<TargetState> targets = targetsInNeedOfGate(view);
		Map<String, Integer> targetCounts = targetCounts(view, now);
		this.availableGates = Set.copyOf(targetCounts.keySet());
		if (now < this.firstAssignmentAt || targetCounts.isEmpty()) {
			return;
		}
		Set<TargetEpoch> handedOver = this.leases.heartbeats()
			.stream()
			.flatMap((heartbeat) -> heartbeat.handedOver().stream())
			.collect(Collectors.toSet());
		List<GateAssignment> assignments = new ArrayList<>();
		targets.stream().filter((target) -> assignable(target, handedOver, view, now)).forEach((target) -> {
			String gate = preferredGate(target, targetCounts, view);
			targetCounts.merge(gate, 1, Integer::sum);
			assignments.add(new GateAssignment(target.spec().name(), target.gateEpoch(), gate));
		});
		proposals.addBatch(assignments, (item) -> List.of(item.target(), item.expectedEpoch()),
				Command.AssignGates::new);
		rebalance(targets, targetCounts, now);
	}

	private static List<TargetState> targetsInNeedOfGate(ControlView view) {
		return view.records()
			.stream()
			.filter((state) -> state.record().kind() == RecordKind.SERVICE)
			.flatMap((state) -> view.targets(((RecordBody.Service) state.record().body()).name()).stream())
			.filter((target) -> target.phase().needsGate() && !TargetRules.isLost(target, view))
			.toList();
	}

	private Map<String, Integer> targetCounts(ControlView view, long now) {
		Map<String, Integer> targetCounts = new HashMap<>();
		view.entries()
			.stream()
			.filter((entry) -> this.leases.available(entry, now)
					&& view.domainAcceptsWork(entry.spec().failureDomain()))
			.forEach((entry) -> targetCounts.put(entry.spec().name(), view.targetsOfGate(entry.spec().name()).size()));
		return targetCounts;
	}

	private boolean assignable(TargetState target, Set<TargetEpoch> handedOver, ControlView view, long now) {
		Optional<EntrySpec> gate = view.entry(target.gate()).map(EntryState::spec);
		return gate.isEmpty() || this.leases.leaseExpired(gate.get(), now) || handedOver.contains(targetEpoch(target));
	}

	private static TargetEpoch targetEpoch(TargetState target) {
		return new TargetEpoch(target.spec().name(), target.spec().bootId(), target.gateEpoch());
	}

	// Returns the entry instance with the fewest targets, preferring one in the failure
	// domain of the target. If the current gate is still available, it has handed the
	// target over, so it counts as if it had one more target per available instance.
	private static String preferredGate(TargetState target, Map<String, Integer> targetCounts, ControlView view) {
		return targetCounts.entrySet()
			.stream()
			.min(Comparator
				.comparingDouble((Map.Entry<String, Integer> gate) -> gate.getValue()
						- (sameDomain(target, gate.getKey(), view) ? DOMAIN_PREFERENCE : 0)
						+ (gate.getKey().equals(target.gate()) ? targetCounts.size() : 0))
				.thenComparing(Map.Entry::getKey))
			.map(Map.Entry::getKey)
			.orElseThrow();
	}

	private static boolean sameDomain(TargetState target, String gate, ControlView view) {
		return view.entry(gate)
			.filter((entry) -> entry.spec().failureDomain().equals(target.spec().failureDomain()))
			.isPresent();
	}

	private void rebalance(List<TargetState> targets, Map<String, Integer> targetCounts, long now) {
		Set<TargetEpoch> current = targets.stream().map(GatePlanner::targetEpoch).collect(Collectors.toSet());
		this.rebalancing.retainAll(current);
		if (now < this.nextRebalance || !this.rebalancing.isEmpty()) {
			return;
		}
		this.nextRebalance = now + REBALANCE_INTERVAL_NANOS;
		Comparator<Map.Entry<String, Integer>> order = Map.Entry.<String, Integer>comparingByValue()
			.thenComparing(Map.Entry.comparingByKey());
		Map.Entry<String, Integer> mostLoaded = targetCounts.entrySet().stream().max(order).orElseThrow();
		Map.Entry<String, Integer> leastLoaded = targetCounts.entrySet().stream().min(order).orElseThrow();
		if (mostLoaded.getValue() - leastLoaded.getValue() >= REBALANCE_DIFFERENCE) {
			targets.stream()
				.filter((target) -> target.gate().equals(mostLoaded.getKey()))
				.findFirst()
				.ifPresent((target) -> this.rebalancing.add(targetEpoch(target)));
		}
	}

	/**
	 * Returns the targets whose gate an entry instance is asked to hand over: all of them
	 * if it is leaving or its failure domain accepts no work, otherwise those to be
	 * rebalanced.
	 * @param heartbeat the heartbeat of the entry instance
	 * @param view the view
	 * @return the targets with their gate epochs, empty if no other entry instance is
	 * available
	 */
	List<TargetEpoch> targetsToHandOver(EntryHeartbeat heartbeat, ControlView view) {
		String name = heartbeat.entry().name();
		boolean all = heartbeat.leaving() || !view.domainAcceptsWork(heartbeat.entry().failureDomain());
		boolean otherAvailable = this.availableGates.stream().anyMatch((gate) -> !gate.equals(name));
		Stream<TargetEpoch> own = view.targetsOfGate(name).stream().map(GatePlanner::targetEpoch);
		return own.filter((target) -> otherAvailable && (all || this.rebalancing.contains(target))).toList();
	}

}

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
 * Chooses the gate of each target. Not thread safe.
 *
 * <p>
 * Invariant: a gate is replaced only if its entry instance's lease is over or it has
 * handed the target over.
 */
final class GatePlanner {

	/** A gate in the target's failure domain may be this much busier than others. */
	private static final double DOMAIN_PREFERENCE = 1.5;

	/** Smaller differences than this aren't worth a cold start of a ramp. */
	private static final int REBALANCE_DIFFERENCE = 3;

	private static final long REBALANCE_NANOS = 500_000_000L;

	private final EntryLeases leases;

	private final long startAt;

	private final Set<TargetEpoch> rebalancing = new HashSet<>();

	private long nextRebalance;

	private Set<String> candidates = Set.of();

	GatePlanner(EntryLeases leases, ControlTiming timing, long electedAt) {
		this.leases = leases;
		// Within two heartbeats every live entry instance is known, so the first one to
		// be heard doesn't get all gates.
		this.startAt = electedAt + 2 * timing.entryHeartbeatNanos();
		this.nextRebalance = electedAt + timing.waitedNanos(timing.gateLeaseNanos());
	}

	void propose(ControlView view, Proposals proposals, long now) {
		List<TargetState> targets = targets(view);
		Map<String, Integer> gates = gates(view, now);
		this.candidates = Set.copyOf(gates.keySet());
		if (now < this.startAt || gates.isEmpty()) {
			return;
		}
		Set<TargetEpoch> handedOver = this.leases.heartbeats()
			.stream()
			.flatMap((heartbeat) -> heartbeat.handedOver().stream())
			.collect(Collectors.toSet());
		List<GateAssignment> assignments = new ArrayList<>();
		targets.stream().filter((target) -> free(target, handedOver, view, now)).forEach((target) -> {
			String gate = best(target, gates, view);
			gates.merge(gate, 1, Integer::sum);
			assignments.add(new GateAssignment(target.spec().name(), target.gateEpoch(), gate));
		});
		proposals.addBatch(assignments, (item) -> List.of(item.target(), item.expectedEpoch()),
				Command.AssignGates::new);
		rebalance(targets, gates, now);
	}

	private static List<TargetState> targets(ControlView view) {
		return view.records()
			.stream()
			.filter((state) -> state.record().kind() == RecordKind.SERVICE)
			.flatMap((state) -> view.targets(((RecordBody.Service) state.record().body()).name()).stream())
			.filter((target) -> target.phase().needsGate() && !TargetRules.gone(target, view))
			.toList();
	}

	private Map<String, Integer> gates(ControlView view, long now) {
		Map<String, Integer> gates = new HashMap<>();
		view.entries()
			.stream()
			.filter((entry) -> this.leases.live(entry, now) && view.domainTakesWork(entry.spec().failureDomain()))
			.forEach((entry) -> gates.put(entry.spec().name(), view.targetsOfGate(entry.spec().name()).size()));
		return gates;
	}

	private boolean free(TargetState target, Set<TargetEpoch> handedOver, ControlView view, long now) {
		Optional<EntrySpec> gate = view.entry(target.gate()).map(EntryState::spec);
		return gate.isEmpty() || this.leases.over(gate.get(), now) || handedOver.contains(epochOf(target));
	}

	private static TargetEpoch epochOf(TargetState target) {
		return new TargetEpoch(target.spec().name(), target.spec().bootId(), target.gateEpoch());
	}

	private static String best(TargetState target, Map<String, Integer> gates, ControlView view) {
		return gates.entrySet()
			.stream()
			.min(Comparator
				.comparingDouble((Map.Entry<String, Integer> gate) -> gate.getValue()
						- (sameDomain(target, gate.getKey(), view) ? DOMAIN_PREFERENCE : 0)
						+ (gate.getKey().equals(target.gate()) ? gates.size() : 0))
				.thenComparing(Map.Entry::getKey))
			.map(Map.Entry::getKey)
			.orElseThrow();
	}

	private static boolean sameDomain(TargetState target, String gate, ControlView view) {
		return view.entry(gate)
			.filter((entry) -> entry.spec().failureDomain().equals(target.spec().failureDomain()))
			.isPresent();
	}

	private void rebalance(List<TargetState> targets, Map<String, Integer> gates, long now) {
		Set<TargetEpoch> current = targets.stream().map(GatePlanner::epochOf).collect(Collectors.toSet());
		this.rebalancing.retainAll(current);
		if (now < this.nextRebalance || !this.rebalancing.isEmpty()) {
			return;
		}
		this.nextRebalance = now + REBALANCE_NANOS;
		Comparator<Map.Entry<String, Integer>> order = Map.Entry.<String, Integer>comparingByValue()
			.thenComparing(Map.Entry.comparingByKey());
		Map.Entry<String, Integer> most = gates.entrySet().stream().max(order).orElseThrow();
		Map.Entry<String, Integer> least = gates.entrySet().stream().min(order).orElseThrow();
		if (most.getValue() - least.getValue() >= REBALANCE_DIFFERENCE) {
			targets.stream()
				.filter((target) -> target.gate().equals(most.getKey()))
				.findFirst()
				.ifPresent((target) -> this.rebalancing.add(epochOf(target)));
		}
	}

	/**
	 * Returns the gates that an entry instance is asked to hand over.
	 * @param heartbeat its heartbeat
	 * @param view the view
	 * @return the targets with their gate epochs
	 */
	List<TargetEpoch> handOver(EntryHeartbeat heartbeat, ControlView view) {
		String name = heartbeat.entry().name();
		boolean all = heartbeat.leaving() || !view.domainTakesWork(heartbeat.entry().failureDomain());
		boolean others = this.candidates.stream().anyMatch((gate) -> !gate.equals(name));
		Stream<TargetEpoch> own = view.targetsOfGate(name).stream().map(GatePlanner::epochOf);
		return own.filter((target) -> others && (all || this.rebalancing.contains(target))).toList();
	}

}

package org.redwingramp.bench.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.model.ShardId;

/**
 * Runs the control state with simulated entry instances, targets, operators and callers.
 * Not thread safe.
 */
final class ControlWorkload implements Workload {

	static final String SERVICE = "taller-svc";

	static final int SLICES = 8;

	static final List<String> DOMAINS = List.of("zona-capital", "zona-mixco", "zona-villanueva");

	static final long START_MILLIS = 1_700_000_000_000L;

	private static final long CHECK_INTERVAL_MILLIS = 250;

	/**
	 * The default leases with ten times as many heartbeats. With the default timing, most
	 * steps take longer than a lease, so code that fails to wait for a lease to expire
	 * wouldn't be detected.
	 */
	private static final ControlTiming FREQUENT_HEARTBEATS = new ControlTiming(10 * Simulation.MILLISECOND,
			700 * Simulation.MILLISECOND, 400 * Simulation.MILLISECOND, 20 * Simulation.MILLISECOND,
			40 * Simulation.MILLISECOND, 3_000 * Simulation.MILLISECOND, 0.01);

	private final SimulatedCluster cluster;

	private final ControlTiming timing;

	private final ObjectTable table = new ObjectTable();

	private final ControlChecks checks = new ControlChecks(this);

	private final List<LeaderSession> sessions = new ArrayList<>();

	private final List<EntryProcess> entries = new ArrayList<>();

	private final List<TargetProcess> targets = new ArrayList<>();

	private SimulatedOperators operators;

	private Optional<Progress> progressAtFaultsEnd = Optional.empty();

	ControlWorkload(SimulatedCluster cluster) {
		this.cluster = cluster;
		this.timing = cluster.simulation().chance(0.5) ? ControlTiming.DEFAULT : FREQUENT_HEARTBEATS;
	}

	ControlTiming timing() {
		return this.timing;
	}

	SimulatedCluster cluster() {
		return this.cluster;
	}

	ControlChecks checks() {
		return this.checks;
	}

	List<TargetProcess> targets() {
		return this.targets;
	}

	Optional<TargetProcess> target(String name) {
		return this.targets.stream().filter((target) -> target.name().equals(name)).findFirst();
	}

	EntryProcess entry(String name) {
		return this.entries.stream().filter((entry) -> entry.name().equals(name)).findFirst().orElseThrow();
	}

	EntryProcess anyEntry() {
		return this.entries.get(random().nextInt(this.entries.size()));
	}

	ControlClient client(SimulatedProcess caller) {
		return new ControlClient(this.cluster, caller, this.sessions);
	}

	// Returns random loads, which make the controller move shards.
	Map<String, Double> loads() {
		Map<String, Double> loads = new HashMap<>();
		for (int slice = 0; slice < SLICES; slice++) {
			loads.put(ShardId.slice(SERVICE, slice).toString(), 1.0 + random().nextInt(50));
		}
		return loads;
	}

	@Override
	public StateMachine newStateMachine() {
		return new ControlStateMachine(this.table);
	}

	@Override
	public void start() {
		this.cluster.replicas().forEach((process) -> {
			LeaderSession session = new LeaderSession(this.cluster, process, this.table, this.timing);
			this.sessions.add(session);
			session.start();
		});
		for (int i = 0; i < 3; i++) {
			this.entries.add(new EntryProcess("entry-" + (i + 1), DOMAINS.get(i), this));
		}
		for (int i = 0; i < 4; i++) {
			this.targets.add(new TargetProcess("target-" + (i + 1), DOMAINS.get(i % DOMAINS.size()), this));
		}
		this.operators = new SimulatedOperators(this);
		this.operators.start();
		new SimulatedCallers(this).start();
		this.cluster.simulation().every(CHECK_INTERVAL_MILLIS, this::checkServedState);
	}

	@Override
	public void injectFault() {
		TargetProcess target = this.targets.get(random().nextInt(this.targets.size()));
		EntryProcess entry = anyEntry();
		switch (random().nextInt(10)) {
			case 0, 1 -> freeze("target frozen", target);
			case 2 -> restart("target restarted cold", target);
			case 3 -> leave(target);
			case 4 -> freeze("entry paused", entry);
			case 5 -> restart("entry crash", entry);
			case 6 -> leave(entry);
			case 7, 8 -> partition(random().nextInt(DOMAINS.size()));
			default -> cutConnection(entry);
		}
	}

	@Override
	public void endFaults() {
		this.targets.forEach(this::restoreProcess);
		this.entries.forEach(this::restoreProcess);
		this.operators.endFaults();
		this.progressAtFaultsEnd = Optional.of(progress());
	}

	@Override
	public void afterEachEvent() {
		// ControlChecks checks ownership whenever a target applies a grant.
	}

	@Override
	public String recoveryProblem() {
		Optional<ControlState> state = servedState();
		if (state.isEmpty()) {
			return "no leader serves";
		}
		boolean owned = state.get()
			.view()
			.shards(SERVICE)
			.stream()
			.allMatch((shard) -> shard.phase() == ShardPhase.OWNED);
		if (!owned || state.get().view().shards(SERVICE).isEmpty()) {
			return "not every shard is owned: " + state.get().view().shards(SERVICE) + " targets "
					+ state.get().view().targets(SERVICE) + " entries " + state.get().view().entries();
		}
		Progress now = progress();
		Progress end = this.progressAtFaultsEnd.orElseThrow();
		if (now.lookups() < end.lookups() + 30 || now.answered() < end.answered() + 30
				|| now.acceptances() <= end.acceptances()) {
			return "lookups, answered requests or accepted records: " + end + " at the end of the faults, now " + now;
		}
		ControlSnapshot snapshot = state.get().snapshot();
		this.checks.checkAnswersKept(snapshot);
		this.operators.checkAcceptedRecordsKept(snapshot);
		return "";
	}

	@Override
	public Map<String, Long> operationCounts() {
		Map<String, Long> counts = new TreeMap<>(this.checks.operationCounts());
		counts.put("records accepted", this.operators.acceptances());
		return counts;
	}

	private void checkServedState() {
		servedState().ifPresent((state) -> this.checks.checkGateEpochs(state.snapshot()));
	}

	// Returns the state of the first replica that serves as leader.
	Optional<ControlState> servedState() {
		return this.sessions.stream().map(LeaderSession::servedState).flatMap(Optional::stream).findFirst();
	}

	private Progress progress() {
		return new Progress(this.checks.lookups(), this.checks.answeredRequests(), this.operators.acceptances());
	}

	private void freeze(String kind, SimulatedProcess process) {
		if (process.active()) {
			this.cluster.trace().fault(kind, process.name());
			process.pause();
			this.cluster.simulation().after(this.cluster.simulation().between(20, 2000), process::resume);
		}
	}

	private void restart(String kind, SimulatedProcess process) {
		if (process.running()) {
			this.cluster.trace().fault(kind, process.name());
			process.stop();
			if (process instanceof TargetProcess target) {
				this.checks.targetStopped(target);
			}
			this.cluster.simulation().after(this.cluster.simulation().between(1, 2000), process::start);
		}
	}

	private void leave(TargetProcess target) {
		this.cluster.trace().fault("target leaves", target.name());
		target.leave();
		this.cluster.simulation().after(this.cluster.simulation().between(500, 4000), () -> {
			if (target.leaving()) {
				restart("target returns", target);
			}
		});
	}

	private void leave(EntryProcess entry) {
		this.cluster.trace().fault("entry leaves", entry.name());
		entry.leave();
		this.cluster.simulation()
			.after(this.cluster.simulation().between(500, 3000), () -> restart("entry returns", entry));
	}

	private void cutConnection(EntryProcess entry) {
		boolean both = random().nextBoolean();
		String other = random().nextBoolean() ? this.targets.get(random().nextInt(this.targets.size())).name()
				: this.cluster.replicas().get(random().nextInt(3)).name();
		this.cluster.trace().fault("entry cut", entry.name() + " to " + other);
		this.cluster.network().cut(entry.name(), other);
		if (both) {
			this.cluster.network().cut(other, entry.name());
		}
		this.cluster.simulation().after(this.cluster.simulation().between(100, 2500), this.cluster.network()::heal);
	}

	// Isolates a failure domain: its gate and its targets still reach each other, but
	// neither the leader nor other gates reach them if those are outside the domain.
	private void partition(int domain) {
		this.cluster.trace().fault("failure domain cut off", DOMAINS.get(domain));
		List<String> inside = processesOf(domain);
		for (int other = 0; other < DOMAINS.size(); other++) {
			if (other != domain) {
				processesOf(other).forEach((outside) -> inside.forEach((name) -> {
					this.cluster.network().cut(name, outside);
					this.cluster.network().cut(outside, name);
				}));
			}
		}
		this.cluster.simulation().after(this.cluster.simulation().between(100, 2500), this.cluster.network()::heal);
	}

	private List<String> processesOf(int domain) {
		List<String> names = new ArrayList<>();
		names.add(this.cluster.replicas().get(domain).name());
		names.add(this.entries.get(domain).name());
		for (int i = domain; i < this.targets.size(); i += DOMAINS.size()) {
			names.add(this.targets.get(i).name());
		}
		return names;
	}

	private void restoreProcess(SimulatedProcess process) {
		process.resume();
		process.start();
		if (process instanceof TargetProcess target && target.leaving()) {
			restart("target returns", target);
			process.start();
		}
	}

	private Random random() {
		return this.cluster.simulation().random();
	}

	private record Progress(long lookups, int answered, long acceptances) {
	}

}

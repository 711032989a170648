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
 * The control state with entry instances, targets, operators and callers. Not thread
 * safe.
 */
final class ControlWorkload implements Workload {

	static final String SERVICE = "taller-svc";

	static final int SLICES = 8;

	static final List<String> DOMAINS = List.of("zona-capital", "zona-mixco", "zona-villanueva");

	static final long START_MILLIS = 1_700_000_000_000L;

	private static final long CHECK_MILLIS = 250;

	/**
	 * The leases of the default with ten times the heartbeats. With the default, most
	 * steps take so long that a lease which is not waited for is over anyway, so a
	 * missing wait wouldn't show.
	 */
	private static final ControlTiming FREQUENT = new ControlTiming(10 * Simulation.MILLISECOND,
			700 * Simulation.MILLISECOND, 400 * Simulation.MILLISECOND, 20 * Simulation.MILLISECOND,
			40 * Simulation.MILLISECOND, 3_000 * Simulation.MILLISECOND, 0.01);

	private final World world;

	private final ControlTiming timing;

	private final ObjectTable table = new ObjectTable();

	private final ControlChecks checks = new ControlChecks(this);

	private final List<LeaderSession> sessions = new ArrayList<>();

	private final List<EntryProcess> entries = new ArrayList<>();

	private final List<TargetProcess> targets = new ArrayList<>();

	private Operators operators;

	private Optional<Progress> atEnd = Optional.empty();

	ControlWorkload(World world) {
		this.world = world;
		this.timing = world.simulation().chance(0.5) ? ControlTiming.DEFAULT : FREQUENT;
	}

	ControlTiming timing() {
		return this.timing;
	}

	World world() {
		return this.world;
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
		return new ControlClient(this.world, caller, this.sessions);
	}

	// Changing loads make the controller move shards.
	Map<String, Double> loads() {
		Map<String, Double> loads = new HashMap<>();
		for (int slice = 0; slice < SLICES; slice++) {
			loads.put(ShardId.slice(SERVICE, slice).toString(), 1.0 + random().nextInt(50));
		}
		return loads;
	}

	@Override
	public StateMachine newMachine() {
		return new ControlMachine(this.table);
	}

	@Override
	public void start() {
		this.world.replicas().forEach((process) -> {
			LeaderSession session = new LeaderSession(this.world, process, this.table, this.timing);
			this.sessions.add(session);
			session.start();
		});
		for (int i = 0; i < 3; i++) {
			this.entries.add(new EntryProcess("entry-" + (i + 1), DOMAINS.get(i), this));
		}
		for (int i = 0; i < 4; i++) {
			this.targets.add(new TargetProcess("target-" + (i + 1), DOMAINS.get(i % DOMAINS.size()), this));
		}
		this.operators = new Operators(this);
		this.operators.start();
		new Callers(this).start();
		this.world.simulation().every(CHECK_MILLIS, this::checkServedState);
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
			default -> cut(entry);
		}
	}

	@Override
	public void endFaults() {
		this.targets.forEach(this::revive);
		this.entries.forEach(this::revive);
		this.operators.calm();
		this.atEnd = Optional.of(progress());
	}

	@Override
	public void afterEach() {
		// Ownership is checked where it changes, at the targets.
	}

	@Override
	public String missing() {
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
		Progress end = this.atEnd.orElseThrow();
		if (now.lookups() < end.lookups() + 30 || now.answered() < end.answered() + 30
				|| now.acceptances() <= end.acceptances()) {
			return "lookups, answered requests or accepted records: " + end + " at the end of the faults, now " + now;
		}
		ControlSnapshot snapshot = state.get().snapshot();
		this.checks.nothingAcknowledgedIsLost(snapshot);
		this.operators.nothingAcceptedIsLost(snapshot);
		return "";
	}

	@Override
	public Map<String, Long> work() {
		Map<String, Long> work = new TreeMap<>(this.checks.work());
		work.put("records accepted", this.operators.acceptances());
		return work;
	}

	private void checkServedState() {
		servedState().ifPresent((state) -> this.checks.gateEpochs(state.snapshot()));
	}

	Optional<ControlState> servedState() {
		return this.sessions.stream().map(LeaderSession::servedState).flatMap(Optional::stream).findFirst();
	}

	private Progress progress() {
		return new Progress(this.checks.lookups(), this.checks.answeredRequests(), this.operators.acceptances());
	}

	private void freeze(String kind, SimulatedProcess process) {
		if (process.active()) {
			this.world.trace().fault(kind, process.name());
			process.pause();
			this.world.simulation().after(this.world.simulation().between(20, 2000), process::resume);
		}
	}

	private void restart(String kind, SimulatedProcess process) {
		if (process.running()) {
			this.world.trace().fault(kind, process.name());
			process.stop();
			if (process instanceof TargetProcess target) {
				this.checks.stopped(target);
			}
			this.world.simulation().after(this.world.simulation().between(1, 2000), process::start);
		}
	}

	private void leave(TargetProcess target) {
		this.world.trace().fault("target leaves", target.name());
		target.leave();
		this.world.simulation().after(this.world.simulation().between(500, 4000), () -> {
			if (target.leaving()) {
				restart("target returns", target);
			}
		});
	}

	private void leave(EntryProcess entry) {
		this.world.trace().fault("entry leaves", entry.name());
		entry.leave();
		this.world.simulation()
			.after(this.world.simulation().between(500, 3000), () -> restart("entry returns", entry));
	}

	private void cut(EntryProcess entry) {
		boolean both = random().nextBoolean();
		String other = random().nextBoolean() ? this.targets.get(random().nextInt(this.targets.size())).name()
				: this.world.replicas().get(random().nextInt(3)).name();
		this.world.trace().fault("entry cut", entry.name() + " to " + other);
		this.world.network().cut(entry.name(), other);
		if (both) {
			this.world.network().cut(other, entry.name());
		}
		this.world.simulation().after(this.world.simulation().between(100, 2500), this.world.network()::heal);
	}

	// A gate and a target in one failure domain still reach each other while neither the
	// leader nor other gates reach them.
	private void partition(int domain) {
		this.world.trace().fault("failure domain cut off", DOMAINS.get(domain));
		List<String> inside = processesOf(domain);
		for (int other = 0; other < DOMAINS.size(); other++) {
			if (other != domain) {
				processesOf(other).forEach((outside) -> inside.forEach((name) -> {
					this.world.network().cut(name, outside);
					this.world.network().cut(outside, name);
				}));
			}
		}
		this.world.simulation().after(this.world.simulation().between(100, 2500), this.world.network()::heal);
	}

	private List<String> processesOf(int domain) {
		List<String> names = new ArrayList<>();
		names.add(this.world.replicas().get(domain).name());
		names.add(this.entries.get(domain).name());
		for (int i = domain; i < this.targets.size(); i += DOMAINS.size()) {
			names.add(this.targets.get(i).name());
		}
		return names;
	}

	private void revive(SimulatedProcess process) {
		process.resume();
		process.start();
		if (process instanceof TargetProcess target && target.leaving()) {
			restart("target returns", target);
			process.start();
		}
	}

	private Random random() {
		return this.world.simulation().random();
	}

	private record Progress(long lookups, int answered, long acceptances) {
	}

}

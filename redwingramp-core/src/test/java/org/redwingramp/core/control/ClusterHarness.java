package org.redwingramp.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.TargetSpec;
import org.redwingramp.core.placement.PlacementPolicies;

/**
 * A simulated cluster in virtual time: one control state with a controller, entry agents
 * and fake targets. A commit takes one step, a message at least one. After each step the
 * harness checks that no two targets serve the same shard or run requests for the same
 * key, and that at most one entry instance may dispatch to a target. Not thread safe.
 */
final class ClusterHarness {

	static final long STEP_NANOS = 5_000_000L;

	static final long SECOND = 1_000_000_000L;

	final StateDriver driver = new StateDriver();

	final Map<String, FakeEntry> entries = new TreeMap<>();

	final Map<String, FakeTarget> targets = new TreeMap<>();

	final List<Command> applied = new ArrayList<>();

	private final Map<Long, List<Action>> scheduled = new TreeMap<>();

	Controller controller;

	boolean leaderReachable = true;

	long now = 1_000 * SECOND;

	/** The maximum delay of a message in steps. */
	int maxDelaySteps = 1;

	/** The probability that a message is lost. */
	double messageLossRate;

	final Random random;

	private long term;

	ClusterHarness(long seed) {
		this.random = new Random(seed);
		electLeader();
	}

	void electLeader() {
		this.term++;
		this.controller = Controllers.create(this.driver.state, PlacementPolicies.balanced(), ControlTiming.DEFAULT,
				this.now, this.term);
	}

	// The rates of two clocks differ by at most 1%, which is the drift bound.
	double clockRate() {
		return 0.995 + 0.01 * this.random.nextDouble();
	}

	void toggleLeaderReachable() {
		this.leaderReachable = !this.leaderReachable;
	}

	ControlView view() {
		return this.driver.state.view();
	}

	FakeEntry addEntry(String name, String domain) {
		return addEntry(new EntrySpec(name, "127.0.0.1:70", domain, name + "-" + this.now));
	}

	FakeEntry addEntry(EntrySpec spec) {
		FakeEntry entry = new FakeEntry(this, spec);
		this.entries.put(spec.name(), entry);
		return entry;
	}

	FakeTarget addTarget(TargetSpec spec) throws InvariantViolatedException {
		FakeTarget target = new FakeTarget(spec, this);
		this.targets.put(spec.name(), target);
		apply(new Command.AnnounceTarget(spec));
		return target;
	}

	void apply(Command command) throws InvariantViolatedException {
		this.driver.clockMillis = StateDriver.START_MILLIS + this.now / 1_000_000;
		this.driver.apply(command);
		this.applied.add(command);
		if (command instanceof Command.TargetLost lost) {
			this.targets.get(lost.name()).abandonRequests();
		}
	}

	void deliverLater(Action action) {
		if (this.random.nextDouble() >= this.messageLossRate) {
			long at = this.now + STEP_NANOS * (1 + this.random.nextInt(this.maxDelaySteps));
			this.scheduled.computeIfAbsent(at, (time) -> new ArrayList<>()).add(action);
		}
	}

	// Commands commit in the order of proposal, as in a log. Uncommitted proposals of a
	// previous leader are lost.
	private void scheduleCommit(Command command) {
		long proposalTerm = this.term;
		this.scheduled.computeIfAbsent(this.now + STEP_NANOS, (time) -> new ArrayList<>()).add(() -> {
			if (proposalTerm == this.term) {
				apply(command);
			}
		});
	}

	void run(long nanos) throws InvariantViolatedException {
		for (long end = this.now + nanos; this.now < end;) {
			step();
		}
	}

	void step() throws InvariantViolatedException {
		this.now += STEP_NANOS;
		List<Action> actions = this.scheduled.remove(this.now);
		for (Action action : (actions != null) ? actions : List.<Action>of()) {
			action.run();
		}
		for (Command command : this.leaderReachable ? this.controller.tick(this.now) : List.<Command>of()) {
			scheduleCommit(command);
		}
		for (FakeEntry entry : this.entries.values()) {
			entry.step();
		}
		checkInvariants();
	}

	long runUntil(long limitNanos, Condition condition) throws InvariantViolatedException {
		long start = this.now;
		while (!condition.holds()) {
			if (this.now - start > limitNanos) {
				throw new AssertionError("the condition was not met within " + limitNanos / 1_000_000 + " ms");
			}
			step();
		}
		return this.now - start;
	}

	boolean allShardsServed(RecordBody.Service service) {
		return view().shards(service.name()).stream().allMatch((shard) -> shard.phase() == ShardPhase.OWNED)
				&& view().shards(service.name()).stream().allMatch(this::served);
	}

	boolean served(ShardState shard) {
		return this.entries.values()
			.stream()
			.anyMatch((entry) -> entry.running() && entry.mayDispatch(shard)
					&& this.targets.get(shard.owner()).accepts(shard.id(), this.now));
	}

	private void checkInvariants() {
		Map<Object, String> owners = new HashMap<>();
		for (FakeTarget target : this.targets.values()) {
			target.serving(this.now).forEach((shard) -> {
				String other = owners.put(shard, target.spec.name());
				if (other != null) {
					throw new AssertionError(shard + " is served by " + other + " and " + target.spec.name() + " at "
							+ this.now + " ns");
				}
			});
			target.runningKeys(this.now).forEach((key) -> {
				String other = owners.put(key, target.spec.name());
				if (other != null) {
					throw new AssertionError(
							key + " runs on " + other + " and " + target.spec.name() + " at " + this.now + " ns");
				}
			});
			long gates = this.entries.values().stream().filter((entry) -> entry.mayDispatchTo(target)).count();
			if (gates > 1) {
				throw new AssertionError("two gates may dispatch to " + target.spec.name() + " at " + this.now + " ns");
			}
		}
	}

	/** An event that is scheduled for a later step. */
	interface Action {

		void run() throws InvariantViolatedException;

	}

	/** A condition to wait for. */
	interface Condition {

		boolean holds();

	}

}

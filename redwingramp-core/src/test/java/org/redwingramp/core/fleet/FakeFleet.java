package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.RangeLease;

/**
 * A controller with targets that hold what they are granted. Commands are committed at
 * once. It checks that no key is held by two targets.
 */
final class FakeFleet implements FleetOutput {

	static final long MS = 1_000_000;

	final FleetState state = new FleetState(FleetImage.EMPTY);

	final Set<String> silent = new HashSet<>();

	final Set<String> cutFromControl = new HashSet<>();

	/** Targets whose next grant gets no answer; it is applied three seconds later. */
	final Set<String> lateOnce = new HashSet<>();

	final Set<String> replaced = new HashSet<>();

	final List<String> decisions = new ArrayList<>();

	final List<FleetCommand> commands = new ArrayList<>();

	FleetController controller;

	long now = 100_000 * MS;

	int grants;

	private final Map<String, List<Held>> held = new HashMap<>();

	private final List<Late> late = new ArrayList<>();

	private final Map<String, Long> seen = new HashMap<>();

	private final Map<Integer, Taken> highest = new HashMap<>();

	private final List<Runnable> replies = new ArrayList<>();

	private final Map<String, Long> coldUntil = new HashMap<>();

	private final Map<String, Long> sequences = new HashMap<>();

	FakeFleet() {
		lead();
	}

	void lead() {
		this.replies.clear();
		this.controller = new FleetController(this.state, this, LeaseTiming.DEFAULT, this.now);
		this.controller.shardedServices(Set.of("s"));
	}

	void join(String name, long born, String address) {
		beat(new FleetTarget(name, born, "s", address, "d-" + name.length(), 3, Stage.SERVING), 0);
	}

	// The process ends and another one takes over its address.
	void replace(String name) {
		this.silent.add(name);
		this.replaced.add(name);
		this.held.remove(name);
	}

	void beat(FleetTarget target, long coldMillis) {
		this.coldUntil.put(target.name(), this.now + coldMillis * MS);
		long sequence = this.sequences.merge(target.name() + target.born(), 1L, Long::sum);
		this.controller.heartbeat(new TargetHeartbeat(target, coldMillis, sequence), this.now).ifPresent(this::commit);
	}

	void commit(FleetCommand command) {
		this.commands.add(command);
		if (command instanceof RecordTarget record) {
			this.state.target(record.target().name())
				.filter((former) -> former.born() != record.target().born())
				.ifPresent((former) -> this.held.remove(former.name()));
		}
		this.state.apply(command);
		this.controller.applied(command, this.now);
	}

	// Lets time pass; targets that aren't silent send heartbeats.
	void run(long millis) {
		for (long i = 0; i < millis; i += 50) {
			this.now += 50 * MS;
			List<Runnable> due = List.copyOf(this.replies);
			this.replies.clear();
			due.forEach(Runnable::run);
			if (i % 500 == 0) {
				this.state.targets()
					.stream()
					.filter((target) -> !this.silent.contains(target.name())
							&& !this.cutFromControl.contains(target.name()) && target.stage() != Stage.LEFT)
					.toList()
					.forEach(
							(target) -> beat(target, Math.max(0, (this.coldUntil.get(target.name()) - this.now) / MS)));
			}
			this.controller.tick(this.now);
			applyLate();
			checkOwners();
		}
	}

	Set<String> owners() {
		Set<String> owners = new HashSet<>();
		this.controller.viewKeys().get("s").forEach((range) -> owners.add(range.owner()));
		return owners;
	}

	long servedKeys() {
		return this.controller.viewKeys()
			.get("s")
			.stream()
			.filter((range) -> !range.owner().isEmpty())
			.mapToLong((range) -> range.last() - range.first() + 1L)
			.sum();
	}

	@Override
	public void propose(FleetCommand command) {
		this.replies.add(() -> commit(command));
	}

	@Override
	public void grant(RangeLease lease, FleetTarget target, Optional<String> via) {
		this.grants++;
		GrantOutcome outcome = this.lateOnce.remove(target.name()) ? GrantOutcome.UNKNOWN : reach(target, via);
		if (outcome == GrantOutcome.UNKNOWN) {
			this.late.add(new Late(this.now + 3000 * MS, target.name(), lease.range().keys(), lease.range().fence()));
		}
		noteFence(target.name(), lease, outcome);
		if (outcome == GrantOutcome.CONFIRMED) {
			List<Held> list = this.held.computeIfAbsent(target.name(), (name) -> new ArrayList<>());
			list.removeIf((held) -> held.keys().equals(lease.range().keys()));
			list.add(new Held(lease.range().keys(), this.now + LeaseTiming.DEFAULT.holdNanos()));
		}
		this.replies.add(() -> this.controller.grantReturned(lease, outcome, this.now));
	}

	@Override
	public void release(RangeLease lease, FleetTarget target, Optional<String> via) {
		GrantOutcome outcome = reach(target, via);
		if (outcome == GrantOutcome.CONFIRMED) {
			release(target.name(), lease.range().keys());
		}
		this.replies.add(() -> this.controller.releaseReturned(lease, outcome, Optional.of("token"), this.now));
	}

	@Override
	public void decision(String event, Object... details) {
		this.decisions.add(event);
	}

	private void noteFence(String target, RangeLease lease, GrantOutcome outcome) {
		if (outcome == GrantOutcome.CONFIRMED) {
			for (int key = lease.range().keys().first(); key <= lease.range().keys().last(); key++) {
				this.seen.merge(target + " " + key, lease.range().fence(), Math::max);
				this.highest.merge(key, new Taken(target, lease.range().fence()),
						(former, next) -> (next.fence() >= former.fence()) ? next : former);
			}
		}
	}

	// A late grant is refused by a target that has seen a higher fence. Elsewhere it must
	// not lie below the fence of another target.
	private void applyLate() {
		this.late.removeIf((grant) -> {
			if (grant.at() > this.now || this.silent.contains(grant.target())) {
				return grant.at() <= this.now;
			}
			int key = grant.keys().first();
			boolean refused = this.seen.getOrDefault(grant.target() + " " + key, 0L) > grant.fence();
			Taken taken = this.highest.getOrDefault(key, new Taken(grant.target(), 0));
			if (!refused && !taken.target().equals(grant.target()) && taken.fence() > grant.fence()) {
				throw new AssertionError(
						"late grant of key " + key + " with fence " + grant.fence() + " taken below " + taken);
			}
			return true;
		});
	}

	private GrantOutcome reach(FleetTarget target, Optional<String> via) {
		if (this.replaced.contains(target.name())) {
			return GrantOutcome.OTHER_TARGET;
		}
		boolean cut = this.cutFromControl.contains(target.name()) && via.isEmpty();
		return (this.silent.contains(target.name()) || cut) ? GrantOutcome.UNKNOWN : GrantOutcome.CONFIRMED;
	}

	private void release(String target, KeyRange keys) {
		List<Held> list = this.held.getOrDefault(target, List.of());
		List<Held> parts = new ArrayList<>();
		for (Held part : list) {
			if (!part.keys().overlaps(keys)) {
				parts.add(part);
				continue;
			}
			if (part.keys().first() < keys.first()) {
				parts.add(new Held(new KeyRange(part.keys().first(), keys.first() - 1), part.until()));
			}
			if (part.keys().last() > keys.last()) {
				parts.add(new Held(new KeyRange(keys.last() + 1, part.keys().last()), part.until()));
			}
		}
		this.held.put(target, parts);
	}

	private void checkOwners() {
		List<Held> all = new ArrayList<>();
		this.held.forEach((name, list) -> {
			List<Held> live = list.stream().filter((part) -> part.until() > this.now).toList();
			live.forEach((part) -> all.forEach((other) -> {
				if (part.keys().overlaps(other.keys())) {
					throw new AssertionError("keys " + part.keys() + " are held by two targets, one is " + name);
				}
			}));
			all.addAll(live);
		});
	}

	private record Late(long at, String target, KeyRange keys, long fence) {
	}

	private record Taken(String target, long fence) {
	}

	private record Held(KeyRange keys, long until) {
	}

}

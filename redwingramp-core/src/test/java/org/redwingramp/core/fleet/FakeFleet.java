package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.KeyReport;
import org.redwingramp.core.ownership.KeyReport.ReleasedRange;
import org.redwingramp.core.ownership.LeaseRenewal;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.traffic.GrantMode;
import org.redwingramp.core.traffic.ServiceSpec;

/**
 * Runs a {@link FleetController} against in-memory targets that hold the ranges they are
 * granted, measured by a clock that is slow by the maximum that is allowed. Proposed
 * commands are committed in the next step. Each step fails if two targets hold the same
 * key, and each grant that a target accepts fails if its fence isn't above all fences
 * with which others had the keys.
 */
final class FakeFleet implements FleetOutput {

	static final long MS = 1_000_000;

	/** The duration of cold periods after the return of a failure domain. */
	static final long COLD_MILLIS = 3000;

	private static final long HOLD_NANOS = LeaseTiming.DEFAULT.grantDurationNanos() * 102 / 100;

	final FleetState state = new FleetState(FleetSnapshot.EMPTY);

	final Set<String> unresponsive = new HashSet<>();

	final Set<String> partitionedFromControl = new HashSet<>();

	/** Targets whose heartbeats don't reach the leader, while calls to them do. */
	final Set<String> silent = new HashSet<>();

	/** Targets whose next grant gets no reply and is applied later. */
	final Set<String> delayNextGrant = new HashSet<>();

	/** Targets whose grants all get no reply and are applied later. */
	final Set<String> delayGrants = new HashSet<>();

	/** Targets whose next release gets no reply and is applied later. */
	final Set<String> delayNextRelease = new HashSet<>();

	/** Targets that apply the next release, whose reply is lost. */
	final Set<String> loseNextReleaseReply = new HashSet<>();

	/** Targets that refuse every grant, as if they had seen a higher fence. */
	final Set<String> refusing = new HashSet<>();

	/** Whether refusals don't reach the controller, since they can't be verified. */
	boolean hideRefusals;

	/** Whether proposed commands wait for {@link #commitHeld}. */
	boolean holdCommits;

	/** The time after which a target applies a call without a reply. */
	long applyDelayMillis = 3000;

	GrantMode mode = GrantMode.CALL;

	final Set<String> replaced = new HashSet<>();

	private final Set<String> replacedByOtherService = new HashSet<>();

	final List<String> failures = new ArrayList<>();

	/** Targets for which a grant ends with an unexpected exception. */
	final Set<String> failingGrants = new HashSet<>();

	final List<String> decisions = new ArrayList<>();

	/** The decisions with their details, as names and values. */
	final List<String> decisionLines = new ArrayList<>();

	/** For how long keys were without an owner in each move. */
	final List<Long> movesMillis = new ArrayList<>();

	/** Targets that refuse the next grant, as if they had seen a higher fence. */
	final Set<String> refuseNextGrant = new HashSet<>();

	/** Decisions whose output ends with an unexpected exception. */
	final Set<String> failingDecisions = new HashSet<>();

	final List<FleetCommand> commands = new ArrayList<>();

	FleetController controller;

	private final DomainReturns domainReturns = new DomainReturns();

	long now = 100_000 * MS;

	int grants;

	/** The lease of the last grant that was sent. */
	RangeLease lastGranted;

	/** The number of late grants that targets accepted. */
	int appliedLate;

	private final Map<String, List<HeldRange>> heldRanges = new HashMap<>();

	private final List<DelayedCall> delayedCalls = new ArrayList<>();

	private final List<KnownFence> seenFences = new ArrayList<>();

	private final List<KnownFence> acceptedFences = new ArrayList<>();

	private final Map<String, List<ReleasedRange>> releasedRanges = new HashMap<>();

	private final List<Runnable> replies = new ArrayList<>();

	private final List<FleetCommand> heldCommands = new ArrayList<>();

	private final Map<String, Long> coldUntilNanos = new HashMap<>();

	private final Map<String, Long> sequences = new HashMap<>();

	FakeFleet() {
		startLeadership();
	}

	void startLeadership() {
		this.replies.clear();
		this.heldCommands.clear();
		this.controller = new FleetController(this.state, this, LeaseTiming.DEFAULT, this.now);
		configure(this.mode);
		this.domainReturns.passTo(this.controller, COLD_MILLIS, this.now);
	}

	// Switches the way in which targets are granted keys.
	void configure(GrantMode next) {
		this.mode = next;
		this.controller.services(List.of(new ServiceSpec("s", "/", 1, true, 0, 0, 0, next)));
	}

	// The failure domain depends on the length of the name, so that a test can place a
	// target in a domain of its own.
	void join(String name, long born, String address) {
		sendHeartbeat(new FleetTarget(name, born, "s", address, "d-" + name.length(), 3, Stage.SERVING), 0);
	}

	// Stops the target; another target answers at its address from now on.
	void replace(String name) {
		this.unresponsive.add(name);
		this.replaced.add(name);
		this.heldRanges.remove(name);
	}

	// Stops the target; a server that takes no grants answers at its address from now on.
	void replaceByOtherService(String name) {
		this.unresponsive.add(name);
		this.replacedByOtherService.add(name);
		this.heldRanges.remove(name);
	}

	void sendHeartbeat(FleetTarget target, long coldMillis) {
		this.coldUntilNanos.put(target.name(), this.now + coldMillis * MS);
		long sequence = this.sequences.merge(target.name() + target.born(), 1L, Long::sum);
		TargetHeartbeat heartbeat = new TargetHeartbeat(target, coldMillis, sequence, keyReport(target.name()));
		if (this.controller.objectionTo(heartbeat, this.now / MS).isEmpty()) {
			this.controller.heartbeat(heartbeat, this.now).ifPresent(this::commit);
			this.controller.renewal(heartbeat, this.now).ifPresent((renewal) -> renewed(target.name(), renewal));
		}
	}

	private KeyReport keyReport(String name) {
		if (this.mode == GrantMode.CALL) {
			return KeyReport.EMPTY;
		}
		return new KeyReport(
				liveRanges(name).map((part) -> new KeyReport.HeldRange(part.keys(), part.fence())).toList(),
				this.releasedRanges.getOrDefault(name, List.of()));
	}

	// A target holds what the reply lists and releases all else.
	private void renewed(String name, LeaseRenewal renewal) {
		List<HeldRange> former = liveRanges(name).toList();
		this.heldRanges.remove(name);
		renewal.ranges()
			.stream()
			.filter((row) -> !seenHigher(name, row.keys(), row.fence()))
			.forEach((row) -> accept(name, row.keys(), row.fence(), this.now));
		this.releasedRanges.put(name,
				former.stream()
					.map(HeldRange::keys)
					.filter((keys) -> liveRanges(name).noneMatch((part) -> part.keys().overlaps(keys)))
					.map((keys) -> new ReleasedRange(keys, "token"))
					.toList());
	}

	void commit(FleetCommand command) {
		this.commands.add(command);
		if (command instanceof RecordTarget record) {
			this.state.target(record.target().name())
				.filter((former) -> former.born() != record.target().born())
				.ifPresent((former) -> restarted(former.name()));
		}
		this.state.apply(command);
		this.controller.commandApplied(command, this.now);
		this.domainReturns.applied(command, this.now);
	}

	// The new incarnation knows nothing of before. It may get what was sent within the
	// last second to the former one.
	private void restarted(String name) {
		this.heldRanges.remove(name);
		this.seenFences.removeIf((seen) -> seen.target().equals(name));
		this.delayedCalls.removeIf(
				(call) -> call.target().equals(name) && call.sentNanos() + LeaseTiming.MAX_ARRIVAL_NANOS < this.now);
	}

	// Advances the time in steps of 50 ms. Responsive targets send a heartbeat every ten
	// steps.
	void advance(long millis) {
		for (long i = 0; i < millis; i += 50) {
			this.now += 50 * MS;
			List<Runnable> due = List.copyOf(this.replies);
			this.replies.clear();
			due.forEach(Runnable::run);
			if (i % 500 == 0) {
				this.state.targets()
					.stream()
					.filter((target) -> !this.unresponsive.contains(target.name())
							&& !this.silent.contains(target.name())
							&& !this.partitionedFromControl.contains(target.name()) && target.stage() != Stage.LEFT)
					.toList()
					.forEach((target) -> sendHeartbeat(target,
							Math.max(0, (this.coldUntilNanos.get(target.name()) - this.now) / MS)));
			}
			this.controller.tick(this.now);
			applyDelayedCalls();
			checkExclusiveOwnership();
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
		if (this.holdCommits) {
			this.heldCommands.add(command);
		}
		else {
			this.replies.add(() -> commit(command));
		}
	}

	// Commits the earliest command that waits, if any.
	void commitHeld() {
		if (!this.heldCommands.isEmpty()) {
			commit(this.heldCommands.remove(0));
		}
	}

	// Commits the commands that wait, and later ones at once.
	void commitAllHeld() {
		this.holdCommits = false;
		this.heldCommands.forEach((command) -> this.replies.add(() -> commit(command)));
		this.heldCommands.clear();
	}

	@Override
	public void grant(RangeLease lease, FleetTarget target, Optional<String> via) {
		if (this.failingGrants.contains(target.name())) {
			throw new IllegalStateException("no grant can be written for " + target.name());
		}
		this.grants++;
		this.lastGranted = lease;
		KeyRange keys = lease.range().keys();
		long fence = lease.range().fence();
		boolean delayed = this.delayNextGrant.remove(target.name()) || this.delayGrants.contains(target.name());
		GrantOutcome reply = delayed ? GrantOutcome.UNKNOWN : call(target, via);
		boolean refused = this.refusing.contains(target.name()) || seenHigher(target.name(), keys, fence)
				|| (reply == GrantOutcome.CONFIRMED && this.refuseNextGrant.remove(target.name()));
		GrantOutcome outcome = (reply == GrantOutcome.CONFIRMED && refused) ? GrantOutcome.HIGHER_FENCE_SEEN : reply;
		if (outcome == GrantOutcome.UNKNOWN) {
			this.delayedCalls.add(new DelayedCall(false, this.now, this.now + this.applyDelayMillis * MS, target.name(),
					keys, fence));
		}
		if (outcome == GrantOutcome.CONFIRMED) {
			accept(target.name(), keys, fence, this.now);
		}
		GrantOutcome known = (this.hideRefusals && outcome == GrantOutcome.HIGHER_FENCE_SEEN) ? GrantOutcome.UNKNOWN
				: outcome;
		this.replies.add(() -> this.controller.grantReturned(lease, known, this.now));
	}

	@Override
	public void release(RangeLease lease, FleetTarget target, Optional<String> via) {
		KeyRange keys = lease.range().keys();
		long fence = lease.releaseFence();
		boolean delayed = this.delayNextRelease.remove(target.name());
		GrantOutcome reply = delayed ? GrantOutcome.UNKNOWN : call(target, via);
		if (delayed) {
			this.delayedCalls.add(
					new DelayedCall(true, this.now, this.now + this.applyDelayMillis * MS, target.name(), keys, fence));
		}
		if (reply == GrantOutcome.CONFIRMED) {
			release(target.name(), keys, fence);
		}
		GrantOutcome outcome = this.loseNextReleaseReply.remove(target.name()) ? GrantOutcome.UNKNOWN : reply;
		this.replies.add(() -> this.controller.releaseReturned(lease, outcome, Optional.of("token"), this.now));
	}

	@Override
	public void workFailed(String duty, String element, RuntimeException failure) {
		this.failures.add(duty);
	}

	@Override
	public void keysMoved(RangeLease lease, long ownerlessNanos) {
		this.movesMillis.add(ownerlessNanos / MS);
	}

	@Override
	public void decision(String event, Object... details) {
		if (this.failingDecisions.contains(event)) {
			throw new IllegalStateException("the decision " + event + " can't be output");
		}
		this.decisions.add(event);
		this.decisionLines.add(event + " " + Arrays.toString(details));
	}

	long heldKeys() {
		return this.heldRanges.keySet()
			.stream()
			.flatMap(this::liveRanges)
			.mapToLong((part) -> part.keys().size())
			.sum();
	}

	private Stream<HeldRange> liveRanges(String target) {
		return this.heldRanges.getOrDefault(target, List.of()).stream().filter((part) -> part.untilNanos() > this.now);
	}

	private boolean seenHigher(String target, KeyRange keys, long fence) {
		return this.seenFences.stream()
			.anyMatch((seen) -> seen.target().equals(target) && seen.fence() > fence && seen.keys().overlaps(keys));
	}

	// A target takes keys for the time that is left since the grant was sent.
	private void accept(String target, KeyRange keys, long fence, long sentNanos) {
		this.acceptedFences.stream()
			.filter((other) -> !other.target().equals(target) && other.fence() >= fence && other.keys().overlaps(keys))
			.findFirst()
			.ifPresent((other) -> {
				throw new AssertionError("keys " + keys + " were accepted by " + target + " with fence " + fence
						+ ", although another target had them with one that isn't lower: " + other);
			});
		note(this.seenFences, new KnownFence(target, keys, fence));
		note(this.acceptedFences, new KnownFence(target, keys, fence));
		release(target, keys);
		this.heldRanges.computeIfAbsent(target, (name) -> new ArrayList<>())
			.add(new HeldRange(keys, fence, sentNanos + HOLD_NANOS));
	}

	private static void note(List<KnownFence> fences, KnownFence next) {
		fences.removeIf((former) -> former.target().equals(next.target()) && former.fence() <= next.fence()
				&& former.keys().first() >= next.keys().first() && former.keys().last() <= next.keys().last());
		fences.add(next);
	}

	// Applies the delayed calls that are due. A target refuses a grant if it has seen a
	// higher fence, and takes no keys by one whose time has run out.
	private void applyDelayedCalls() {
		List<DelayedCall> due = this.delayedCalls.stream().filter((call) -> call.dueNanos() <= this.now).toList();
		this.delayedCalls.removeAll(due);
		due.stream().filter((call) -> !this.unresponsive.contains(call.target())).forEach((call) -> {
			if (call.release()) {
				release(call.target(), call.keys(), call.fence());
			}
			else if (!seenHigher(call.target(), call.keys(), call.fence())
					&& call.sentNanos() + HOLD_NANOS > this.now) {
				accept(call.target(), call.keys(), call.fence(), call.sentNanos());
				this.appliedLate++;
			}
		});
	}

	private GrantOutcome call(FleetTarget target, Optional<String> via) {
		if (this.replaced.contains(target.name())) {
			return GrantOutcome.OTHER_TARGET;
		}
		if (this.replacedByOtherService.contains(target.name())) {
			return GrantOutcome.REJECTED;
		}
		boolean partitioned = this.partitionedFromControl.contains(target.name()) && via.isEmpty();
		return (this.unresponsive.contains(target.name()) || partitioned) ? GrantOutcome.UNKNOWN
				: GrantOutcome.CONFIRMED;
	}

	private void release(String target, KeyRange keys, long fence) {
		release(target, keys);
		note(this.seenFences, new KnownFence(target, keys, fence));
	}

	private void release(String target, KeyRange keys) {
		List<HeldRange> list = this.heldRanges.getOrDefault(target, List.of());
		List<HeldRange> parts = new ArrayList<>();
		for (HeldRange part : list) {
			if (!part.keys().overlaps(keys)) {
				parts.add(part);
				continue;
			}
			if (part.keys().first() < keys.first()) {
				parts.add(part.with(new KeyRange(part.keys().first(), keys.first() - 1)));
			}
			if (part.keys().last() > keys.last()) {
				parts.add(part.with(new KeyRange(keys.last() + 1, part.keys().last())));
			}
		}
		this.heldRanges.put(target, parts);
	}

	private void checkExclusiveOwnership() {
		List<HeldRange> all = new ArrayList<>();
		this.heldRanges.forEach((name, list) -> {
			List<HeldRange> live = list.stream().filter((part) -> part.untilNanos() > this.now).toList();
			live.forEach((part) -> all.forEach((other) -> {
				if (part.keys().overlaps(other.keys())) {
					throw new AssertionError("keys " + part.keys() + " and " + other.keys()
							+ " overlap but are held by two targets, one of which is " + name);
				}
			}));
			all.addAll(live);
		});
	}

	private record DelayedCall(boolean release, long sentNanos, long dueNanos, String target, KeyRange keys,
			long fence) {
	}

	private record KnownFence(String target, KeyRange keys, long fence) {
	}

	private record HeldRange(KeyRange keys, long fence, long untilNanos) {

		HeldRange with(KeyRange part) {
			return new HeldRange(part, this.fence, this.untilNanos);
		}

	}

}

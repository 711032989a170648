package org.redwingramp.core.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.redwingramp.core.fleet.CallNetwork.Call;
import org.redwingramp.core.fleet.EntryReport.KeyUse;
import org.redwingramp.core.fleet.EntryReport.TargetUse;
import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.LeaseRenewal;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.OwnedRange;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.traffic.GrantMode;
import org.redwingramp.core.traffic.ServiceSpec;

/**
 * Runs a succession of {@link FleetController}s against {@link CallTarget}s over a
 * {@link CallNetwork}. A new leader knows what is committed, but not the outcomes of its
 * predecessor's calls, of which those in flight still arrive. An {@link OwnershipCheck}
 * ends the run at the first breach, and so does a second call for a lease while another
 * is in flight. A seed fixes the run. Not thread safe.
 */
final class CallFleet implements FleetOutput {

	private static final long MS = SimulatedTime.MS;

	private static final int STEP_MILLIS = 50;

	private static final int MAX_COMMIT_MILLIS = 500;

	/** Time within which the last grants of leaders that are frozen arrive. */
	private static final int FROZEN_MILLIS = Integer.getInteger("call-ownership.frozen-millis", 0);

	final SimulatedTime time = new SimulatedTime();

	// All incarnations, also those that have ended.
	final List<CallTarget> targets = new ArrayList<>();

	final CallNetwork network;

	final List<String> decisions = new ArrayList<>();

	private final FleetState state = new FleetState(FleetSnapshot.EMPTY);

	private final OwnershipCheck check = new OwnershipCheck(this.targets);

	private final Random random;

	private final Deque<FleetCommand> proposed = new ArrayDeque<>();

	private final Set<RangeLease> inFlight = new HashSet<>();

	private Optional<FleetController> controller = Optional.empty();

	private GrantMode mode = GrantMode.CALL;

	private int steps;

	CallFleet(long seed, int size) {
		this.random = new Random(seed);
		this.network = new CallNetwork(this.time, this.random, this.check);
		startLeadership();
		IntStream.range(0, size).forEach((i) -> join("10.0.0." + i + ":80"));
	}

	CallTarget join(String address) {
		return start("t-" + this.targets.size(), address);
	}

	CallTarget restart(CallTarget former) {
		former.alive = false;
		return start(former.name, former.address);
	}

	private CallTarget start(String name, String address) {
		CallTarget target = new CallTarget(name, this.time.now() / MS, address, this.random);
		this.targets.add(target);
		this.network.started(target);
		heartbeats(target);
		return target;
	}

	List<CallTarget> serving() {
		return this.targets.stream().filter((target) -> target.alive && target.stage == Stage.SERVING).toList();
	}

	// Ends the leadership; the next begins after a delay, unless another one has begun
	// by then.
	void changeLeader(int delayMillis) {
		this.controller = Optional.empty();
		int committed = this.random.nextInt(this.proposed.size() + 1);
		IntStream.range(0, committed).forEach((i) -> apply(this.proposed.poll()));
		this.proposed.clear();
		sendLastCalls();
		this.time.schedule(delayMillis, () -> {
			if (this.controller.isEmpty()) {
				startLeadership();
			}
		});
	}

	private void startLeadership() {
		FleetController next = new FleetController(this.state, this, LeaseTiming.DEFAULT, this.time.now());
		configure(next);
		this.controller = Optional.of(next);
	}

	// Switches between the two ways of granting keys.
	void switchMode() {
		this.mode = (this.mode == GrantMode.CALL) ? GrantMode.HEARTBEAT : GrantMode.CALL;
		this.controller.ifPresent(this::configure);
	}

	private void configure(FleetController leader) {
		leader.services(List.of(new ServiceSpec("s", "/", 1, true, 0, 0, 0, this.mode)));
	}

	// A leader sends grants until its own lease ends, before which there is no other
	// leader, and releases that it has decided on until it notices its end. Here it sends
	// either for any range of the committed assignment, which covers those that it would
	// have chosen, and releases up to half a second later.
	private void sendLastCalls() {
		if (this.mode == GrantMode.HEARTBEAT || !this.state.mayHaveCalls("s")) {
			return;
		}
		long releaseFence = this.state.highestFence();
		this.state.keys("s").ranges().forEach((range) -> {
			int choice = this.random.nextInt(8);
			if (choice == 0) {
				sendLast(range, range.fence(), false);
			}
			else if (choice == 1 && range.fence() < releaseFence) {
				this.time.schedule(this.random.nextInt(500), () -> sendLast(range, releaseFence, true));
			}
		});
	}

	private void sendLast(OwnedRange range, long fence, boolean release) {
		this.state.target(range.owner())
			.map((target) -> new Call(target, range.keys(), fence, release, this.random.nextBoolean()))
			.ifPresent((call) -> {
				if (FROZEN_MILLIS > 0 && !release) {
					this.network.sendFrozen(call, FROZEN_MILLIS);
				}
				else {
					this.network.send(call, (outcome) -> {
					});
				}
			});
	}

	void advance(int millis) {
		for (int i = 0; i < millis; i += STEP_MILLIS) {
			this.time.advanceTo(this.time.now() + STEP_MILLIS * MS);
			this.controller.ifPresent((leader) -> leader.tick(this.time.now()));
			if (++this.steps % 5 == 0) {
				report(List.of());
			}
		}
	}

	void reportHotKey(int key) {
		report(IntStream.range(0, 40).mapToObj((i) -> new KeyUse("s", (key + i * 7) % KeyRange.KEYS, 400)).toList());
	}

	private void report(List<KeyUse> keys) {
		List<TargetUse> uses = this.targets.stream()
			.filter((target) -> target.alive && !target.cutFromEntries)
			.map((target) -> new TargetUse(target.name, 5, 50, 50))
			.toList();
		this.controller
			.ifPresent((leader) -> leader.report("entry", new EntryReport(uses, keys, List.of()), this.time.now()));
	}

	// Returns the keys whose requests are sent to a target that holds them.
	BitSet servedKeys() {
		BitSet served = new BitSet(KeyRange.KEYS);
		this.controller.map((leader) -> leader.viewKeys().get("s"))
			.orElse(List.of())
			.forEach((range) -> this.targets.stream()
				.filter((target) -> target.name.equals(range.owner()))
				.flatMap((target) -> target.served(this.time.now()))
				.map((keys) -> CallTarget.intersection(keys, new KeyRange(range.first(), range.last())))
				.filter((keys) -> keys.first() <= keys.last())
				.forEach((keys) -> served.set(keys.first(), keys.last() + 1)));
		return served;
	}

	void leave(CallTarget target) {
		target.stage = Stage.LEFT;
		if (!target.cutFromControl && !this.network.lost()) {
			this.time.schedule(1,
					() -> this.controller.flatMap((leader) -> leader.leave(target.name, Optional.of(target.born)))
						.ifPresent(this::propose));
		}
	}

	private void heartbeats(CallTarget target) {
		if (!target.alive) {
			return;
		}
		sendHeartbeat(target);
		this.time.schedule(500, () -> heartbeats(target));
	}

	void sendHeartbeat(CallTarget target) {
		if (!target.cutFromControl && !this.network.lost()) {
			TargetHeartbeat heartbeat = target.heartbeat(this.time.now());
			this.time.schedule(1 + this.random.nextInt(this.network.lost() ? 2000 : 3),
					() -> received(target, heartbeat));
		}
	}

	private void received(CallTarget target, TargetHeartbeat heartbeat) {
		long now = this.time.now();
		this.controller.filter((leader) -> leader.objectionTo(heartbeat, now / MS).isEmpty()).ifPresent((leader) -> {
			leader.heartbeat(heartbeat, now).ifPresent(this::propose);
			leader.renewal(heartbeat, now).ifPresent((renewal) -> reply(target, heartbeat, renewal));
		});
	}

	private void reply(CallTarget target, TargetHeartbeat heartbeat, LeaseRenewal renewal) {
		if (!target.cutFromControl && !this.network.lost()) {
			this.time.schedule(1 + this.random.nextInt(this.network.lost() ? 2000 : 3),
					() -> target.replyReceived(heartbeat.sequence(), renewal, this.time.now(), this.check));
		}
	}

	// Commands are committed in the order in which they were proposed.
	@Override
	public void propose(FleetCommand command) {
		this.proposed.add(command);
		Optional<FleetController> proposer = this.controller;
		int slowest = (this.random.nextInt(5) == 0) ? MAX_COMMIT_MILLIS : 30;
		this.time.schedule(10 + this.random.nextInt(slowest), () -> {
			if (this.controller.equals(proposer)) {
				FleetCommand next = this.proposed.poll();
				apply(next);
				proposer.get().commandApplied(next, this.time.now());
			}
		});
	}

	private void apply(FleetCommand command) {
		this.state.apply(command);
		this.check.assigned(this.state.keys("s").ranges());
	}

	@Override
	public void grant(RangeLease lease, FleetTarget target, Optional<String> via) {
		Optional<FleetController> sender = this.controller;
		callBegins(lease);
		this.network.send(new Call(target, lease.range().keys(), lease.range().fence(), false, via.isPresent()),
				(outcome) -> {
					this.inFlight.remove(lease);
					this.controller.filter((leader) -> leader == sender.get())
						.ifPresent((leader) -> leader.grantReturned(lease, outcome, this.time.now()));
				});
	}

	@Override
	public void release(RangeLease lease, FleetTarget target, Optional<String> via) {
		Optional<FleetController> sender = this.controller;
		callBegins(lease);
		this.network.send(new Call(target, lease.range().keys(), lease.releaseFence(), true, via.isPresent()),
				(outcome) -> {
					this.inFlight.remove(lease);
					this.controller.filter((leader) -> leader == sender.get())
						.ifPresent((leader) -> leader.releaseReturned(lease, outcome,
								Optional.of("token").filter((token) -> outcome == GrantOutcome.CONFIRMED),
								this.time.now()));
				});
	}

	private void callBegins(RangeLease lease) {
		if (!this.inFlight.add(lease)) {
			throw new AssertionError("a second call for " + lease.range() + " while another is in flight");
		}
	}

	@Override
	public void keysMoved(RangeLease lease, long ownerlessNanos) {
	}

	@Override
	public void workFailed(String duty, String element, RuntimeException failure) {
		throw failure;
	}

	@Override
	public void decision(String event, Object... details) {
		this.decisions.add(this.time.now() / MS + " " + event + List.of(details));
	}

}

package org.redwingramp.daemon.internal.gate;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.redwingramp.core.control.Command.FencedShard;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.EntryHeartbeat.TargetEpoch;
import org.redwingramp.core.control.GateReports;
import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;

/**
 * Keeps the gates in step with the view, renews the targets' grants and gathers what the
 * gates report. {@link #step} and {@link #reports} are called by one thread; the rest is
 * thread safe.
 *
 * <p>
 * Invariants: at most one grant to a target is under way; a shard is reported as released
 * only if no request for it holds or waits for a slot; a target is handed over only if
 * nothing runs at its gate.
 */
public final class GateKeeper {

	private static final long RATE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final int FAILURES_TO_CLOSE = 2;

	private final GateRegistry gates;

	private final GrantAuthority authority;

	private final GrantSender sender;

	private final ShardLoads loads;

	private final Supplier<Map<String, Double>> slowTargets;

	private final ControlTiming timing;

	private final LongSupplier clock;

	private final Map<String, GrantCycle> cycles = new ConcurrentHashMap<>();

	private final Set<String> lostLogged = new HashSet<>();

	private volatile boolean unsettled;

	private long ratesTaken;

	private ShardLoads.Rates rates = new ShardLoads.Rates(Map.of(), List.of());

	GateKeeper(GateRegistry gates, GrantAuthority authority, GrantSender sender, ShardLoads loads,
			Supplier<Map<String, Double>> slowTargets, ControlTiming timing, LongSupplier clock) {
		this.gates = gates;
		this.authority = authority;
		this.sender = sender;
		this.loads = loads;
		this.slowTargets = slowTargets;
		this.timing = timing;
		this.clock = clock;
		this.ratesTaken = clock.getAsLong();
	}

	/** Makes the next step send grants without waiting for their renewal time. */
	public void viewChanged() {
		this.cycles.values().forEach(GrantCycle::hurry);
	}

	/**
	 * Opens, closes and ticks the gates and sends the grants that are due.
	 * @param view the view
	 * @param leased whether this instance holds the gate lease
	 */
	public void step(ControlView view, boolean leased) {
		this.gates.follow(view);
		this.cycles.keySet().removeIf((target) -> this.gates.find(target).isEmpty());
		for (GateRuntime gate : this.gates.all()) {
			GrantCycle cycle = this.cycles.computeIfAbsent(gate.target(), (target) -> new GrantCycle());
			gate.open(leased && cycle.leased && !this.authority.handOver(gate.target()));
			gate.tick();
			if (cycle.due()) {
				view.target(gate.target()).ifPresent((target) -> renew(target, cycle));
			}
			observeLoss(gate);
		}
		this.unsettled = leased && this.gates.all().stream().anyMatch((gate) -> unsettled(gate, view));
	}

	private boolean unsettled(GateRuntime gate, ControlView view) {
		return !this.cycles.get(gate.target()).leased || this.authority.handOver(gate.target())
				|| releasing(gate, view).findAny().isPresent();
	}

	private static Stream<ShardState> releasing(GateRuntime gate, ControlView view) {
		return view.shardsOf(gate.target()).stream().filter((shard) -> shard.phase() == ShardPhase.RELEASING);
	}

	/**
	 * Returns whether a gate waits for its first lease, reports a loss, hands over or
	 * releases shards, so that the next heartbeat should not wait.
	 * @return whether something is under way that a heartbeat carries on
	 */
	public boolean unsettled() {
		return this.unsettled;
	}

	private void observeLoss(GateRuntime gate) {
		if (!this.authority.lost(gate.target())) {
			this.lostLogged.remove(gate.target());
		}
		else if (this.lostLogged.add(gate.target())) {
			EventLog.log(Event.TARGET_LOST, gate.target(), gate.epoch(), "no reply to grants and the lease is over");
		}
	}

	private void renew(TargetState target, GrantCycle cycle) {
		String name = target.spec().name();
		Grant grant = this.authority.nextGrant(name);
		long sent = this.clock.getAsLong();
		cycle.sent(sent + this.timing.grantRenewalNanos());
		this.sender.send(target.spec().address(), grant)
			.whenComplete((reply, failure) -> replied(name, grant, cycle, sent, Optional.ofNullable(reply)));
	}

	private void replied(String target, Grant grant, GrantCycle cycle, long sent, Optional<GrantReply> reply) {
		boolean inTime = this.clock.getAsLong() - sent <= this.timing.grantTimeoutNanos();
		if (reply.isPresent() && inTime) {
			this.authority.grantReply(target, grant.epoch(), reply.get());
			boolean leased = grant.leaseUntilMillis() > 0 && reply.get().epoch() == grant.epoch();
			if (!cycle.leased && leased) {
				EventLog.log(Event.SHARD_SERVED, target, grant.epoch(), grant.shards().size());
			}
			cycle.leased = leased;
			cycle.failures = 0;
			if (!leased) {
				cycle.hurry();
			}
		}
		else if (++cycle.failures >= FAILURES_TO_CLOSE) {
			cycle.leased = false;
		}
		cycle.answered();
	}

	/**
	 * Gathers what the gates report with the next heartbeat.
	 * @param view the view
	 * @param leaving whether this instance is stopping
	 * @return the reports
	 */
	public GateReports reports(ControlView view, boolean leaving) {
		takeRates();
		List<TargetEpoch> handedOver = this.gates.all()
			.stream()
			.filter((gate) -> this.authority.handOver(gate.target()))
			.filter((gate) -> gate.drained() && this.gates.retiredIdle(gate.target()))
			.flatMap((gate) -> view.target(gate.target()).stream())
			.map((state) -> new TargetEpoch(state.spec().name(), state.spec().bootId(), state.gateEpoch()))
			.toList();
		List<FencedShard> released = this.gates.all()
			.stream()
			.flatMap((gate) -> releasing(gate, view)
				.filter((shard) -> gate.idle(shard.id()) && this.gates.retiredIdle(gate.target())))
			.map(GateKeeper::fenced)
			.toList();
		return new GateReports(leaving, handedOver, released, this.rates.shards(), this.rates.hotKeys(),
				this.slowTargets.get());
	}

	private static FencedShard fenced(ShardState shard) {
		return new FencedShard(shard.id(), shard.fence());
	}

	private void takeRates() {
		long now = this.clock.getAsLong();
		long elapsed = now - this.ratesTaken;
		if (elapsed >= RATE_NANOS) {
			this.rates = this.loads.take(elapsed / (double) RATE_NANOS);
			this.ratesTaken = now;
		}
	}

	/**
	 * The renewal of one target's grant. Thread safe.
	 */
	private final class GrantCycle {

		private volatile boolean leased;

		private volatile int failures;

		private volatile boolean underWay;

		private volatile long nextAt = Long.MIN_VALUE;

		boolean due() {
			return !this.underWay && GateKeeper.this.clock.getAsLong() >= this.nextAt;
		}

		void hurry() {
			this.nextAt = Long.MIN_VALUE;
		}

		void sent(long next) {
			this.underWay = true;
			this.nextAt = next;
		}

		void answered() {
			this.underWay = false;
		}

	}

}

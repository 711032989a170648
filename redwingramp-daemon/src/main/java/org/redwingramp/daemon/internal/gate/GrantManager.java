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
 * Manages the grants of the targets whose gate is this instance: opens and closes gates
 * as the view changes, renews grants and collects the reports for the next heartbeat. A
 * grant permits a target to serve shards until the end of a lease. {@link #step} and
 * {@link #reports} must be called by a single thread; the other methods are thread safe.
 *
 * <p>
 * Invariants: at most one grant to a target is in flight; a shard is reported as released
 * only if no request for it holds or waits for a slot; a target is reported as handed
 * over only if no request holds or waits for a slot at its gate.
 */
public final class GrantManager {

	private static final long RATE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The number of consecutive failed grants after which a gate is closed. */
	private static final int FAILED_GRANTS_TO_CLOSE_GATE = 2;

	private final GateRegistry gates;

	private final GrantAuthority authority;

	private final GrantSender sender;

	private final ShardLoadStatistics loads;

	private final Supplier<Map<String, Double>> slowTargets;

	private final ControlTiming timing;

	private final LongSupplier clock;

	private final Map<String, GrantCycle> cycles = new ConcurrentHashMap<>();

	private final Set<String> loggedLostTargets = new HashSet<>();

	private volatile boolean transitionPending;

	private long ratesTakenNanos;

	private ShardLoadStatistics.Rates rates = new ShardLoadStatistics.Rates(Map.of(), List.of());

	GrantManager(GateRegistry gates, GrantAuthority authority, GrantSender sender, ShardLoadStatistics loads,
			Supplier<Map<String, Double>> slowTargets, ControlTiming timing, LongSupplier clock) {
		this.gates = gates;
		this.authority = authority;
		this.sender = sender;
		this.loads = loads;
		this.slowTargets = slowTargets;
		this.timing = timing;
		this.clock = clock;
		this.ratesTakenNanos = clock.getAsLong();
	}

	/** Makes all grants due, so that the next step sends them with the new view. */
	public void viewChanged() {
		this.cycles.values().forEach(GrantCycle::renewNow);
	}

	/**
	 * Reconciles the gates with the view, refuses requests that can no longer meet their
	 * deadline and sends the grants that are due.
	 * @param view the current view
	 * @param leased whether this instance holds the gate lease
	 */
	public void step(ControlView view, boolean leased) {
		this.gates.reconcile(view);
		this.cycles.keySet().removeIf((target) -> this.gates.find(target).isEmpty());
		for (GateRuntime gate : this.gates.all()) {
			GrantCycle cycle = this.cycles.computeIfAbsent(gate.target(), (target) -> new GrantCycle());
			gate.setOpen(leased && cycle.grantLeased && !this.authority.handoverRequested(gate.target()));
			gate.tick();
			if (cycle.due()) {
				view.target(gate.target()).ifPresent((target) -> renew(target, cycle));
			}
			logLostTarget(gate);
		}
		this.transitionPending = leased && this.gates.all().stream().anyMatch((gate) -> transitionPending(gate, view));
	}

	private boolean transitionPending(GateRuntime gate, ControlView view) {
		return !this.cycles.get(gate.target()).grantLeased || this.authority.handoverRequested(gate.target())
				|| releasingShards(gate, view).findAny().isPresent();
	}

	private static Stream<ShardState> releasingShards(GateRuntime gate, ControlView view) {
		return view.shardsOf(gate.target()).stream().filter((shard) -> shard.phase() == ShardPhase.RELEASING);
	}

	/**
	 * Returns whether a transition is pending at any gate: its target holds no grant
	 * lease, its handover was requested, or it is releasing shards. The next heartbeat
	 * should then be sent without waiting for the regular interval.
	 * @return whether a transition is pending, as of the last step
	 */
	public boolean transitionPending() {
		return this.transitionPending;
	}

	private void logLostTarget(GateRuntime gate) {
		if (!this.authority.lost(gate.target())) {
			this.loggedLostTargets.remove(gate.target());
		}
		else if (this.loggedLostTargets.add(gate.target())) {
			EventLog.log(Event.TARGET_LOST, gate.target(), gate.epoch(),
					"no reply to grants, and the grant lease has expired");
		}
	}

	private void renew(TargetState target, GrantCycle cycle) {
		String name = target.spec().name();
		Grant grant = this.authority.nextGrant(name);
		long sent = this.clock.getAsLong();
		cycle.grantSent(sent + this.timing.grantRenewalNanos());
		this.sender.send(target.spec().address(), grant)
			.whenComplete((reply, failure) -> handleReply(name, grant, cycle, sent, Optional.ofNullable(reply)));
	}

	private void handleReply(String target, Grant grant, GrantCycle cycle, long sent, Optional<GrantReply> reply) {
		boolean inTime = this.clock.getAsLong() - sent <= this.timing.grantTimeoutNanos();
		if (reply.isPresent() && inTime) {
			this.authority.handleGrantReply(target, grant.epoch(), reply.get());
			boolean leased = grant.leaseUntilMillis() > 0 && reply.get().epoch() == grant.epoch();
			if (!cycle.grantLeased && leased) {
				EventLog.log(Event.SHARD_SERVED, target, grant.epoch(), grant.shards().size());
			}
			cycle.grantLeased = leased;
			cycle.consecutiveFailures = 0;
			if (!leased) {
				cycle.renewNow();
			}
		}
		else if (++cycle.consecutiveFailures >= FAILED_GRANTS_TO_CLOSE_GATE) {
			cycle.grantLeased = false;
		}
		cycle.grantCompleted();
	}

	/**
	 * Collects the reports of the gates for the next heartbeat.
	 * @param view the current view
	 * @param leaving whether this instance is stopping and hands over its gates
	 * @return the reports
	 */
	public GateReports reports(ControlView view, boolean leaving) {
		updateRates();
		List<TargetEpoch> handedOver = this.gates.all()
			.stream()
			.filter((gate) -> this.authority.handoverRequested(gate.target()))
			.filter((gate) -> gate.drain() && this.gates.retiredGatesIdle(gate.target()))
			.flatMap((gate) -> view.target(gate.target()).stream())
			.map((state) -> new TargetEpoch(state.spec().name(), state.spec().bootId(), state.gateEpoch()))
			.toList();
		List<FencedShard> released = this.gates.all()
			.stream()
			.flatMap((gate) -> releasingShards(gate, view)
				.filter((shard) -> gate.idle(shard.id()) && this.gates.retiredGatesIdle(gate.target())))
			.map(GrantManager::fencedShard)
			.toList();
		return new GateReports(leaving, handedOver, released, this.rates.shards(), this.rates.hotKeys(),
				this.slowTargets.get());
	}

	private static FencedShard fencedShard(ShardState shard) {
		return new FencedShard(shard.id(), shard.fence());
	}

	private void updateRates() {
		long now = this.clock.getAsLong();
		long elapsed = now - this.ratesTakenNanos;
		if (elapsed >= RATE_INTERVAL_NANOS) {
			this.rates = this.loads.takeRates(elapsed / (double) RATE_INTERVAL_NANOS);
			this.ratesTakenNanos = now;
		}
	}

	/**
	 * The renewal state of one target's grant. Its fields are read and written by the
	 * stepping thread and by the threads that complete grants.
	 */
	private final class GrantCycle {

		private volatile boolean grantLeased;

		private volatile int consecutiveFailures;

		private volatile boolean inFlight;

		private volatile long nextRenewalNanos = Long.MIN_VALUE;

		boolean due() {
			return !this.inFlight && GrantManager.this.clock.getAsLong() >= this.nextRenewalNanos;
		}

		void renewNow() {
			this.nextRenewalNanos = Long.MIN_VALUE;
		}

		void grantSent(long next) {
			this.inFlight = true;
			this.nextRenewalNanos = next;
		}

		void grantCompleted() {
			this.inFlight = false;
		}

	}

}

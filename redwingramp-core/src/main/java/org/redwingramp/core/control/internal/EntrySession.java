package org.redwingramp.core.control.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.redwingramp.core.control.Command.FencedShard;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.EntryAgent;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeat.TargetEpoch;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.EntryState;
import org.redwingramp.core.control.GateReports;
import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.ShardId;

/**
 * The session of one incarnation of an entry instance with the control group. Not thread
 * safe; one thread owns it.
 *
 * <p>
 * Invariant: the view version and the leader's term never decrease. The gate lease is
 * counted from the send time of a heartbeat whose reply confirmed or brought the current
 * view.
 */
public final class EntrySession implements EntryAgent {

	/** A reply to a heartbeat older than the last 64 extends no lease. */
	private static final int MAX_UNANSWERED = 64;

	private static final long NANOS_PER_MILLISECOND = 1_000_000L;

	private static final long NEVER = Long.MIN_VALUE;

	private final EntrySpec entry;

	private final ControlTiming timing;

	private final TreeMap<Long, Long> sendTimes = new TreeMap<>();

	private final Map<String, GrantSession> grantSessions = new HashMap<>();

	private ImmutableView view = ImmutableView.INITIAL;

	private long sequence;

	private long term;

	private long gateLeaseEnd = NEVER;

	private long viewExpiry = NEVER;

	/**
	 * Creates the session.
	 * @param entry the entry instance
	 * @param timing the heartbeat, lease and timeout durations
	 */
	public EntrySession(EntrySpec entry, ControlTiming timing) {
		this.entry = entry;
		this.timing = timing;
	}

	@Override
	public EntryHeartbeat nextHeartbeat(GateReports reports, long now) {
		this.sequence++;
		this.sendTimes.put(this.sequence, now);
		if (this.sendTimes.size() > MAX_UNANSWERED) {
			this.sendTimes.pollFirstEntry();
		}
		reports.released().forEach((shard) -> drained(shard.shard(), shard.fence()));
		List<TargetEpoch> lost = ownTargets().filter((target) -> lost(target.spec().name(), now))
			.map(EntrySession::targetEpoch)
			.toList();
		lost.forEach((target) -> session(target).ifPresent(GrantSession::reportLost));
		reports.handedOver().forEach((target) -> session(target).ifPresent(GrantSession::reportHandedOver));
		List<TargetEpoch> handedOver = ownTargets()
			.filter((target) -> this.grantSessions.get(target.spec().name()).handedOver())
			.map(EntrySession::targetEpoch)
			.toList();
		List<FencedShard> released = ownTargets().flatMap((target) -> released(target.spec().name(), now)).toList();
		return new EntryHeartbeat(this.entry, this.sequence, this.view.clusterId(), this.view.version(),
				reports.leaving(), handedOver, lost, released, reports.shardLoads(), reports.hotKeys(),
				reports.slowTargets());
	}

	private Stream<TargetState> ownTargets() {
		return this.view.targetsOfGate(this.entry.name())
			.stream()
			.filter((target) -> this.grantSessions.containsKey(target.spec().name()));
	}

	private static TargetEpoch targetEpoch(TargetState target) {
		return new TargetEpoch(target.spec().name(), target.spec().bootId(), target.gateEpoch());
	}

	private Optional<GrantSession> session(TargetEpoch target) {
		return this.view.target(target.target())
			.filter((state) -> targetEpoch(state).equals(target))
			.map((state) -> this.grantSessions.get(target.target()));
	}

	private Stream<FencedShard> released(String target, long now) {
		return releasing(target).stream().filter((shard) -> this.grantSessions.get(target).released(shard, now));
	}

	private Set<FencedShard> releasing(String target) {
		return this.view.shardsOf(target)
			.stream()
			.filter((shard) -> shard.phase() == ShardPhase.RELEASING)
			.map((shard) -> new FencedShard(shard.id(), shard.fence()))
			.collect(Collectors.toSet());
	}

	@Override
	public void handleHeartbeatReply(EntryHeartbeatReply reply, long now) throws InvariantViolatedException {
		Long sent = this.sendTimes.get(reply.sequence());
		if (sent == null || reply.term() < this.term) {
			return;
		}
		this.sendTimes.headMap(reply.sequence(), true).clear();
		if (reply.update().isPresent() && !adopt(reply.update().get(), now)) {
			return;
		}
		this.term = reply.term();
		this.viewExpiry = Math.max(this.viewExpiry,
				sent + this.timing.holderLeaseNanos(this.timing.viewLifetimeNanos()));
		if (reply.leaseNanos() > 0) {
			this.gateLeaseEnd = Math.max(this.gateLeaseEnd, sent + this.timing.holderLeaseNanos(reply.leaseNanos()));
		}
		reply.handOver().forEach((target) -> session(target).ifPresent(GrantSession::requestHandOver));
	}

	private boolean adopt(ViewUpdate update, long now) throws InvariantViolatedException {
		boolean otherCluster = !this.view.clusterId().isEmpty() && !this.view.clusterId().equals(update.clusterId());
		if (otherCluster || update.toVersion() < this.view.version() || update.fromVersion() > this.view.version()) {
			return false;
		}
		if (update.toVersion() > this.view.version()) {
			StateChecks.requireMonotonic(this.view, update);
			ImmutableView previous = this.view;
			this.view = previous.with(update);
			updateSessions(previous, now);
		}
		return true;
	}

	private void updateSessions(ImmutableView previous, long now) {
		Collection<TargetState> targets = this.view.targetsOfGate(this.entry.name());
		Set<String> names = targets.stream().map((target) -> target.spec().name()).collect(Collectors.toSet());
		this.grantSessions.keySet().retainAll(names);
		for (TargetState target : targets) {
			GrantSession session = this.grantSessions.get(target.spec().name());
			if (session == null || !session.matches(target)) {
				this.grantSessions.put(target.spec().name(),
						new GrantSession(this.timing, target, previousGate(previous, target), now));
			}
			else {
				session.retainDrained(releasing(target.spec().name()));
			}
		}
	}

	private GrantSession.PreviousGate previousGate(ImmutableView previous, TargetState target) {
		Optional<TargetState> known = previous.target(target.spec().name());
		long maxRequestNanos = this.view.service(target.spec().service())
			.map(RecordBody.Service::maxDeadlineMillis)
			.orElse(0L) * NANOS_PER_MILLISECOND;
		boolean newIncarnation = known.filter((state) -> !state.spec().bootId().equals(target.spec().bootId()))
			.isPresent();
		boolean previousLeaseExpired = known
			.filter((state) -> state.gateEpoch() + 1 == target.gateEpoch() && leaseExpired(state.gate(), previous))
			.isPresent();
		return new GrantSession.PreviousGate(newIncarnation, newIncarnation || previousLeaseExpired, maxRequestNanos);
	}

	// An entry instance is removed only after its gate lease has expired, and the leases
	// of its grants never end after the gate lease.
	private boolean leaseExpired(String gate, ImmutableView previous) {
		Optional<EntrySpec> incarnation = previous.entry(gate).map(EntryState::spec);
		return gate.isEmpty()
				|| (incarnation.isPresent() && !this.view.entry(gate).map(EntryState::spec).equals(incarnation));
	}

	@Override
	public ControlView view() {
		return this.view;
	}

	@Override
	public boolean mayRoute(long now) {
		return now < this.viewExpiry && this.view.version() > 0;
	}

	@Override
	public long gateLeaseEnd() {
		return this.gateLeaseEnd;
	}

	@Override
	public Grant nextGrant(String target, long now) {
		GrantSession session = this.grantSessions.get(target);
		if (session == null || session.handedOver()) {
			// The target rejects gate epoch 0, which is lower than any epoch in use.
			return new Grant(this.entry.name(), 0, 0, "", 0, List.of());
		}
		return session.nextGrant(this.entry.name(), this.view.shardsOf(target), this.gateLeaseEnd, now);
	}

	@Override
	public void handleGrantReply(String target, long gateEpoch, GrantReply reply, long now) {
		this.view.target(target)
			.filter((state) -> state.gateEpoch() == gateEpoch && this.grantSessions.containsKey(target))
			.ifPresent((state) -> this.grantSessions.get(target).reply(reply, now));
	}

	@Override
	public boolean mayDispatch(String target, ShardId shard, long fence, long now) {
		GrantSession session = this.grantSessions.get(target);
		if (session == null || now >= this.gateLeaseEnd || !session.holdsLease(now)) {
			return false;
		}
		TargetState state = this.view.target(target).orElseThrow();
		Optional<RecordBody.Service> service = this.view.service(state.spec().service());
		if (service.isEmpty() || state.phase() == TargetPhase.LOST) {
			return false;
		}
		if (!service.get().keySource().keyed()) {
			return state.phase().acceptsShards() && this.view.domainAcceptsWork(state.spec().failureDomain());
		}
		ShardState current = this.view.shardState(shard);
		return current != null && current.phase().dispatchable() && current.owner().equals(target)
				&& current.fence() == fence && session.acknowledged(new FencedShard(shard, fence));
	}

	@Override
	public boolean lost(String target, long now) {
		GrantSession session = this.grantSessions.get(target);
		return session != null && session.lost(now);
	}

	@Override
	public boolean handoverRequested(String target) {
		GrantSession session = this.grantSessions.get(target);
		return session != null && session.handOverRequested();
	}

	@Override
	public void drained(ShardId shard, long fence) {
		ShardState state = this.view.shardState(shard);
		if (state != null && state.phase() == ShardPhase.RELEASING && state.fence() == fence
				&& this.grantSessions.containsKey(state.owner())) {
			this.grantSessions.get(state.owner()).drain(new FencedShard(shard, fence));
		}
	}

}

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
 * The session of one run of an entry instance. Not thread safe; one thread owns it.
 *
 * <p>
 * Invariant: the view's version and the leader's term only rise, and the gate lease is
 * counted from the send time of a heartbeat that was answered with the view in force.
 */
public final class EntrySession implements EntryAgent {

	/** Replies to heartbeats that are further back extend nothing. */
	private static final int MAX_UNANSWERED = 64;

	private static final long MILLISECOND = 1_000_000L;

	private static final long NEVER = Long.MIN_VALUE;

	private final EntrySpec entry;

	private final ControlTiming timing;

	private final TreeMap<Long, Long> unanswered = new TreeMap<>();

	private final Map<String, GrantSession> sessions = new HashMap<>();

	private ImmutableView view = ImmutableView.INITIAL;

	private long sequence;

	private long term;

	private long gateLeaseEnd = NEVER;

	private long routeEnd = NEVER;

	/**
	 * Creates the session.
	 * @param entry the entry instance
	 * @param timing the leases
	 */
	public EntrySession(EntrySpec entry, ControlTiming timing) {
		this.entry = entry;
		this.timing = timing;
	}

	@Override
	public EntryHeartbeat heartbeat(GateReports reports, long now) {
		this.sequence++;
		this.unanswered.put(this.sequence, now);
		if (this.unanswered.size() > MAX_UNANSWERED) {
			this.unanswered.pollFirstEntry();
		}
		reports.released().forEach((shard) -> drained(shard.shard(), shard.fence()));
		List<TargetEpoch> lost = ownTargets().filter((target) -> lost(target.spec().name(), now))
			.map(EntrySession::epochOf)
			.toList();
		lost.forEach((target) -> session(target).ifPresent(GrantSession::reportLost));
		reports.handedOver().forEach((target) -> session(target).ifPresent(GrantSession::reportHandedOver));
		List<TargetEpoch> handedOver = ownTargets()
			.filter((target) -> this.sessions.get(target.spec().name()).handedOver())
			.map(EntrySession::epochOf)
			.toList();
		List<FencedShard> released = ownTargets().flatMap((target) -> released(target.spec().name(), now)).toList();
		return new EntryHeartbeat(this.entry, this.sequence, this.view.clusterId(), this.view.version(),
				reports.leaving(), handedOver, lost, released, reports.shardLoads(), reports.hotKeys(),
				reports.slowTargets());
	}

	private Stream<TargetState> ownTargets() {
		return this.view.targetsOfGate(this.entry.name())
			.stream()
			.filter((target) -> this.sessions.containsKey(target.spec().name()));
	}

	private static TargetEpoch epochOf(TargetState target) {
		return new TargetEpoch(target.spec().name(), target.spec().bootId(), target.gateEpoch());
	}

	private Optional<GrantSession> session(TargetEpoch target) {
		return this.view.target(target.target())
			.filter((state) -> epochOf(state).equals(target))
			.map((state) -> this.sessions.get(target.target()));
	}

	private Stream<FencedShard> released(String target, long now) {
		return releasing(target).stream().filter((shard) -> this.sessions.get(target).released(shard, now));
	}

	private Set<FencedShard> releasing(String target) {
		return this.view.shardsOf(target)
			.stream()
			.filter((shard) -> shard.phase() == ShardPhase.RELEASING)
			.map((shard) -> new FencedShard(shard.id(), shard.fence()))
			.collect(Collectors.toSet());
	}

	@Override
	public void reply(EntryHeartbeatReply reply, long now) throws InvariantViolatedException {
		Long sent = this.unanswered.get(reply.sequence());
		if (sent == null || reply.term() < this.term) {
			return;
		}
		this.unanswered.headMap(reply.sequence(), true).clear();
		if (reply.update().isPresent() && !accept(reply.update().get(), now)) {
			return;
		}
		this.term = reply.term();
		this.routeEnd = Math.max(this.routeEnd, sent + this.timing.heldNanos(this.timing.viewLifetimeNanos()));
		if (reply.leaseNanos() > 0) {
			this.gateLeaseEnd = Math.max(this.gateLeaseEnd, sent + this.timing.heldNanos(reply.leaseNanos()));
		}
		reply.handOver().forEach((target) -> session(target).ifPresent(GrantSession::requestHandOver));
	}

	private boolean accept(ViewUpdate update, long now) throws InvariantViolatedException {
		boolean otherCluster = !this.view.clusterId().isEmpty() && !this.view.clusterId().equals(update.clusterId());
		if (otherCluster || update.toVersion() < this.view.version() || update.fromVersion() > this.view.version()) {
			return false;
		}
		if (update.toVersion() > this.view.version()) {
			StateChecks.rising(this.view, update);
			ImmutableView former = this.view;
			this.view = former.with(update);
			renewSessions(former, now);
		}
		return true;
	}

	private void renewSessions(ImmutableView former, long now) {
		Collection<TargetState> targets = this.view.targetsOfGate(this.entry.name());
		Set<String> names = targets.stream().map((target) -> target.spec().name()).collect(Collectors.toSet());
		this.sessions.keySet().retainAll(names);
		for (TargetState target : targets) {
			GrantSession session = this.sessions.get(target.spec().name());
			if (session == null || !session.matches(target)) {
				this.sessions.put(target.spec().name(),
						new GrantSession(this.timing, target, origin(former, target), now));
			}
			else {
				session.forgetAllBut(releasing(target.spec().name()));
			}
		}
	}

	private GrantSession.Origin origin(ImmutableView former, TargetState target) {
		Optional<TargetState> known = former.target(target.spec().name());
		long longest = this.view.service(target.spec().service()).map(RecordBody.Service::maxDeadlineMillis).orElse(0L)
				* MILLISECOND;
		boolean newRun = known.filter((state) -> !state.spec().bootId().equals(target.spec().bootId())).isPresent();
		boolean formerLeaseOver = known
			.filter((state) -> state.gateEpoch() + 1 == target.gateEpoch() && gateGone(state.gate(), former))
			.isPresent();
		return new GrantSession.Origin(newRun, newRun || formerLeaseOver, longest);
	}

	// A gate is removed only after its lease, and its grants end before that.
	private boolean gateGone(String gate, ImmutableView former) {
		Optional<EntrySpec> run = former.entry(gate).map(EntryState::spec);
		return gate.isEmpty() || (run.isPresent() && !this.view.entry(gate).map(EntryState::spec).equals(run));
	}

	@Override
	public ControlView view() {
		return this.view;
	}

	@Override
	public boolean mayRoute(long now) {
		return now < this.routeEnd && this.view.version() > 0;
	}

	@Override
	public long gateLeaseEnd() {
		return this.gateLeaseEnd;
	}

	@Override
	public Grant nextGrant(String target, long now) {
		GrantSession session = this.sessions.get(target);
		if (session == null || session.handedOver()) {
			// Epoch 0 is below any epoch in use, so the target refuses it.
			return new Grant(this.entry.name(), 0, 0, "", 0, List.of());
		}
		return session.next(this.entry.name(), this.view.shardsOf(target), this.gateLeaseEnd, now);
	}

	@Override
	public void grantReply(String target, long gateEpoch, GrantReply reply, long now) {
		this.view.target(target)
			.filter((state) -> state.gateEpoch() == gateEpoch && this.sessions.containsKey(target))
			.ifPresent((state) -> this.sessions.get(target).reply(reply, now));
	}

	@Override
	public boolean mayDispatch(String target, ShardId shard, long fence, long now) {
		GrantSession session = this.sessions.get(target);
		if (session == null || now >= this.gateLeaseEnd || !session.holdsLease(now)) {
			return false;
		}
		TargetState state = this.view.target(target).orElseThrow();
		Optional<RecordBody.Service> service = this.view.service(state.spec().service());
		if (service.isEmpty() || state.phase() == TargetPhase.LOST) {
			return false;
		}
		if (!service.get().keySource().keyed()) {
			return state.phase().takesShards() && this.view.domainTakesWork(state.spec().failureDomain());
		}
		ShardState current = this.view.shardState(shard);
		return current != null && current.phase().dispatchable() && current.owner().equals(target)
				&& current.fence() == fence && session.acknowledged(new FencedShard(shard, fence));
	}

	@Override
	public boolean lost(String target, long now) {
		GrantSession session = this.sessions.get(target);
		return session != null && session.lost(now);
	}

	@Override
	public boolean handOver(String target) {
		GrantSession session = this.sessions.get(target);
		return session != null && session.handOverRequested();
	}

	@Override
	public void drained(ShardId shard, long fence) {
		ShardState state = this.view.shardState(shard);
		if (state != null && state.phase() == ShardPhase.RELEASING && state.fence() == fence
				&& this.sessions.containsKey(state.owner())) {
			this.sessions.get(state.owner()).drain(new FencedShard(shard, fence));
		}
	}

}

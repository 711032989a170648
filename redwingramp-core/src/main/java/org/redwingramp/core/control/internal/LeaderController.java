package org.redwingramp.core.control.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.Command.FencedShard;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.Controller;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.ViewUpdate;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.placement.PlacementPolicy;

/**
 * The controller of the leader during one term. Not thread safe; one thread owns it.
 *
 * <p>
 * The invariants of leases and gates are those of {@link EntryLeases} and
 * {@link GatePlanner}.
 */
public final class LeaderController implements Controller {

	private static final long EXPIRY_INTERVAL_NANOS = 10_000_000_000L;

	private final ControlState state;

	private final PlacementPolicy policy;

	private final long electedAt;

	private final long term;

	private final EntryLeases leases;

	private final GatePlanner gates;

	private final LoadStatistics loads = new LoadStatistics();

	private final Map<String, ShardPlanner> shardPlanners = new HashMap<>();

	private final Map<String, HotKeyPlanner> hotKeyPlanners = new HashMap<>();

	private final Proposals proposals = new Proposals();

	private final LostTargets lostTargets = new LostTargets();

	private final GrantWatermark grantWatermark;

	private long nextExpiry;

	/**
	 * Creates the controller.
	 * @param state the state
	 * @param policy the policy that chooses targets for shards
	 * @param timing the heartbeat, lease and timeout durations
	 * @param electedAt the monotonic time in nanoseconds of the election
	 * @param term the term
	 */
	public LeaderController(ControlState state, PlacementPolicy policy, ControlTiming timing, long electedAt,
			long term) {
		this.state = state;
		this.policy = policy;
		this.electedAt = electedAt;
		this.term = term;
		this.grantWatermark = new GrantWatermark(timing);
		this.leases = new EntryLeases(timing, electedAt);
		this.gates = new GatePlanner(this.leases, timing, electedAt);
		this.nextExpiry = electedAt + EXPIRY_INTERVAL_NANOS;
	}

	@Override
	public EntryHeartbeatReply handleHeartbeat(EntryHeartbeat heartbeat, long now) {
		ControlView view = this.state.view();
		if (!heartbeat.clusterId().isEmpty() && !heartbeat.clusterId().equals(view.clusterId())) {
			return new EntryHeartbeatReply(heartbeat.sequence(), this.term, 0, Optional.empty(), List.of());
		}
		long lease = this.leases.renew(heartbeat, view, now);
		this.loads.record(heartbeat, now);
		Optional<ViewUpdate> update = (heartbeat.viewVersion() == view.version() && !heartbeat.clusterId().isEmpty())
				? Optional.empty() : Optional.of(this.state.changesSince(heartbeat.viewVersion()));
		return new EntryHeartbeatReply(heartbeat.sequence(), this.term, lease, update,
				this.gates.targetsToHandOver(heartbeat, view));
	}

	@Override
	public List<Command> tick(long now) {
		ControlView view = this.state.view();
		this.proposals.startTick(now);
		this.leases.propose(view, this.proposals, now);
		this.leases.heartbeats().forEach((heartbeat) -> proposeReportedChanges(heartbeat, view));
		this.gates.propose(view, this.proposals, now);
		this.grantWatermark.observe(this.leases.versionInForce(view, now), now);
		List<RecordBody.Service> services = keyedServices(view);
		services.forEach((service) -> {
			Map<ShardId, String> requiredTargets = this.hotKeyPlanners
				.computeIfAbsent(service.name(), (name) -> new HotKeyPlanner(this.loads))
				.propose(service, view, this.proposals, now);
			this.shardPlanners
				.computeIfAbsent(service.name(), (name) -> new ShardPlanner(this.policy, this.loads, this.electedAt))
				.propose(service, new ShardPlanner.Constraints(requiredTargets, this.grantWatermark.version()), view,
						this.proposals, now);
		});
		if (now >= this.nextExpiry) {
			proposeExpiry(view, services, now);
		}
		return this.proposals.commands();
	}

	private static List<RecordBody.Service> keyedServices(ControlView view) {
		return view.records()
			.stream()
			.map(RecordState::record)
			.filter((record) -> record.body() instanceof RecordBody.Service service && service.keySource().keyed())
			.map((record) -> (RecordBody.Service) record.body())
			.toList();
	}

	private void proposeReportedChanges(EntryHeartbeat heartbeat, ControlView view) {
		String gate = heartbeat.entry().name();
		heartbeat.lost()
			.stream()
			.filter((lost) -> view.target(lost.target())
				.filter((target) -> target.gate().equals(gate) && target.gateEpoch() == lost.gateEpoch()
						&& target.spec().bootId().equals(lost.bootId()) && target.phase() != TargetPhase.LOST)
				.isPresent())
			.forEach((lost) -> this.proposals
				.add(new Command.TargetLost(lost.target(), lost.bootId(), lost.gateEpoch())));
		List<FencedShard> released = heartbeat.released()
			.stream()
			.filter((shard) -> view.shard(shard.shard())
				.filter((state) -> state.phase() == ShardPhase.RELEASING && state.fence() == shard.fence())
				.flatMap((state) -> view.target(state.owner()))
				.filter((target) -> target.gate().equals(gate))
				.isPresent())
			.toList();
		this.proposals.addBatch(released, (shard) -> List.of("released", shard), Command.ShardsReleased::new);
	}

	private void proposeExpiry(ControlView view, List<RecordBody.Service> services, long now) {
		this.nextExpiry = now + EXPIRY_INTERVAL_NANOS;
		this.lostTargets.propose(view, this.proposals, now);
		if (this.state.ledgerSize() > 0) {
			this.proposals.add(new Command.ExpireLedger());
		}
		Set<String> shards = services.stream()
			.flatMap((service) -> view.shards(service.name()).stream())
			.map((shard) -> shard.id().toString())
			.collect(Collectors.toSet());
		this.loads.removeOutdated(shards, now);
		Set<String> names = services.stream().map(RecordBody.Service::name).collect(Collectors.toSet());
		this.shardPlanners.keySet().retainAll(names);
		this.hotKeyPlanners.keySet().retainAll(names);
	}

	@Override
	public long versionInForce(long now) {
		return this.leases.versionInForce(this.state.view(), now);
	}

}

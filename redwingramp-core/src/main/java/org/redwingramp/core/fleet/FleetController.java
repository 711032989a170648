package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.redwingramp.core.dispatch.RateReservations.Reservation;
import org.redwingramp.core.fleet.EntryReport.TargetUse;
import org.redwingramp.core.fleet.FleetCommand.AssignKeys;
import org.redwingramp.core.fleet.FleetCommand.ForgetTarget;
import org.redwingramp.core.fleet.FleetCommand.Move;
import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationTable.Observed;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.LeaseRenewal;
import org.redwingramp.core.ownership.LeaseSummary;
import org.redwingramp.core.ownership.LeaseTable;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.traffic.ServiceSpec;

/**
 * Manages targets and key ownership on the control leader. It grants key ranges to
 * targets and renews the leases, forgets targets that are lost, and produces the targets
 * and owners of the view that entry instances route by. {@link TargetHealths} tracks the
 * health of targets, and {@link KeyAssigner} moves ranges away from those that drain, are
 * overloaded or are lost. Invariants: a range is assigned to a new owner only once no
 * former owner can still hold it; an assignment is committed before its grant is sent.
 * Reads no clock and performs no I/O: callers pass the time, and a {@link FleetOutput}
 * executes the decisions. Not thread safe.
 */
public final class FleetController {

	/** Interval between two rounds of load balancing. */
	private static final long BALANCE_INTERVAL_NANOS = 400_000_000L;

	/** Maximum number of entry instances whose reports are logged as implausible. */
	private static final int MAX_LOGGED_ENTRIES = 1000;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final FleetState state;

	private final FleetOutput output;

	private final LeaseTable leases;

	private final TargetHealths healths;

	private final Set<FleetCommand> pendingCommands = new HashSet<>();

	private final Map<String, FleetCommand> pendingAssignments = new HashMap<>();

	private final TargetRegister targets;

	private final GuardedWork guard;

	private final GrantModes grantModes;

	private final CallDelivery callDelivery;

	private final HeartbeatDelivery heartbeatDelivery;

	private final FleetObservations observations;

	private final KeyAssigner assigner;

	private final Set<String> implausibleEntries = new HashSet<>();

	private Set<String> services = Set.of();

	private Set<String> domains = Set.of();

	private long lastBalanceNanos;

	private long viewChanges;

	/**
	 * Creates the controller for a new leadership term.
	 * @param state the replicated state, with all previously committed commands applied
	 * @param output executes the decisions
	 * @param timing the timing of grants and leases
	 * @param now the monotonic time in nanoseconds
	 */
	public FleetController(FleetState state, FleetOutput output, LeaseTiming timing, long now) {
		this.state = state;
		this.output = output;
		this.guard = new GuardedWork(output);
		this.targets = new TargetRegister(state);
		this.leases = new LeaseTable(timing);
		this.healths = new TargetHealths(state, output, this::viewChanged, now);
		this.observations = new FleetObservations(this.healths, output, this::viewChanged);
		this.assigner = new KeyAssigner(this, state, this.leases, this.healths, this.observations, output);
		this.grantModes = new GrantModes(state, this.leases, output);
		this.callDelivery = new CallDelivery(this, state, this.leases, output);
		this.heartbeatDelivery = new HeartbeatDelivery(this, this.leases, output, timing);
		state.keyedServices().forEach((service) -> {
			this.leases.adopt(service, state.keys(service), state.mayHaveCalls(service), now);
			this.leases.quarantine(service, state.keys(service).gaps(), now);
		});
	}

	/**
	 * Sets the services of the configuration in force. Until then there are none.
	 * @param configured the services
	 */
	public void services(Collection<ServiceSpec> configured) {
		this.services = configured.stream().map(ServiceSpec::name).collect(Collectors.toUnmodifiableSet());
		this.grantModes.configure(configured.stream()
			.filter(ServiceSpec::sharded)
			.collect(Collectors.toUnmodifiableMap(ServiceSpec::name, ServiceSpec::grantMode)));
		this.healths.configure(configured);
	}

	/**
	 * Sets the failure domains of the fleet. Until then, targets of any domain are
	 * accepted.
	 * @param known the names of all failure domains, empty if they aren't known
	 */
	public void failureDomains(Collection<String> known) {
		this.domains = Set.copyOf(known);
	}

	/**
	 * Returns whether a failure domain may have targets, now or later.
	 * @param domain the name of the failure domain
	 * @return whether it belongs to the fleet or a recorded target is in it
	 */
	public boolean knowsDomain(String domain) {
		return this.domains.isEmpty() || this.domains.contains(domain)
				|| this.state.targets().stream().anyMatch((target) -> target.domain().equals(domain));
	}

	/**
	 * Returns why a heartbeat can't come from a target of this fleet. Such a heartbeat
	 * must be neither processed nor acknowledged: it says nothing about any target.
	 * @param heartbeat the heartbeat
	 * @param wallMillis the wall-clock time in milliseconds
	 * @return the reason, or empty if the heartbeat may be processed
	 */
	public Optional<String> objectionTo(TargetHeartbeat heartbeat, long wallMillis) {
		return HeartbeatCheck.objection(heartbeat.target(), this.state.target(heartbeat.target().name()), this.services,
				this.domains, wallMillis);
	}

	/**
	 * Processes a heartbeat of a target. Ignores one of a former incarnation, and one of
	 * an unknown target whose address a later started target uses.
	 * @param heartbeat the heartbeat, to which there is no objection
	 * @param now the monotonic time in nanoseconds
	 * @return the command to commit before the heartbeat is acknowledged, or empty if the
	 * replicated state needs no change
	 */
	public Optional<FleetCommand> heartbeat(TargetHeartbeat heartbeat, long now) {
		FleetTarget target = heartbeat.target();
		Optional<FleetTarget> known = this.targets.latest(target.name());
		boolean current = known.filter((former) -> former.born() == target.born()).isPresent();
		boolean outdated = known.filter((former) -> former.born() > target.born()).isPresent();
		if (outdated || (!current && addressTaken(target))) {
			this.output.decision("heartbeat-stale", "target", target.name(), "born", target.born(), "sequence",
					heartbeat.sequence());
			return Optional.empty();
		}
		if (!current) {
			this.observations.targetJoined(target.name(), now);
			TargetHealth health = this.healths.recordFirstHeartbeat(heartbeat, now);
			return this.targets.record(target.withWarmth(health.reliablyWarm(now), heartbeat.sequence()));
		}
		FleetTarget recorded = known.get().atLeast(target.stage());
		return this.targets.record(recordHeartbeat(heartbeat, known.get(), now)
				? recorded.withWarmth(health(known.get(), now).reliablyWarm(now), heartbeat.sequence()) : recorded);
	}

	/**
	 * Returns whether the reply to a heartbeat should be delayed, because keys are about
	 * to be released for the target.
	 * @param heartbeat the heartbeat
	 * @param receivedNanos when it was received, as monotonic time in nanoseconds
	 * @param now the monotonic time in nanoseconds
	 * @return whether the target is about to receive keys
	 */
	public boolean awaitsKeys(TargetHeartbeat heartbeat, long receivedNanos, long now) {
		return grantableSender(heartbeat, now)
			.filter((target) -> this.heartbeatDelivery.awaitsKeys(target, receivedNanos, now))
			.isPresent();
	}

	/**
	 * Returns the key ranges that the reply to a heartbeat grants to the target. To be
	 * called when the reply is sent, since the grant begins with it.
	 * @param heartbeat the heartbeat
	 * @param now the monotonic time in nanoseconds
	 * @return all ranges that the target is to hold, or empty if the reply grants and
	 * renews nothing: the target isn't granted keys by heartbeat, or the heartbeat isn't
	 * its latest one
	 */
	public Optional<LeaseRenewal> renewal(TargetHeartbeat heartbeat, long now) {
		return grantableSender(heartbeat, now).map((target) -> this.heartbeatDelivery.renewal(target, now));
	}

	// Returns the sender of a heartbeat if the reply may grant it keys.
	private Optional<FleetTarget> grantableSender(TargetHeartbeat heartbeat, long now) {
		return this.state.target(heartbeat.target().owner())
			.filter((target) -> grantedByHeartbeat(target.service()))
			.filter((target) -> health(target, now).isLatest(heartbeat.sequence()))
			.filter((target) -> !addressTaken(target));
	}

	/**
	 * Returns the command that records the departure of a target.
	 * @param name the target's name
	 * @param born the start time of the incarnation that leaves, or empty for the current
	 * one
	 * @return the command to commit before the departure is acknowledged, or empty if the
	 * incarnation isn't current or has already left
	 */
	public Optional<FleetCommand> leave(String name, Optional<Long> born) {
		return this.targets.departure(name, born);
	}

	/**
	 * Updates target health and load statistics from the report of an entry instance.
	 * @param entry the name of the entry instance
	 * @param report the report
	 * @param now the monotonic time in nanoseconds
	 */
	public void report(String entry, EntryReport report, long now) {
		report.leaving().forEach((owner) -> processElement(owner::target, () -> targetLeaves(entry, owner)));
		report.targets()
			.stream()
			.filter(TargetUse::plausible)
			.forEach((usage) -> processElement(usage::target, () -> responsesReported(entry, usage, now)));
		report.observations()
			.stream()
			.filter(Observation::plausible)
			.forEach((observation) -> processElement(observation::subject,
					() -> this.observations.received(observation, now)));
		report.keys()
			.stream()
			.filter((usage) -> usage.plausible() && this.grantModes.services().contains(usage.service()))
			.forEach((usage) -> processElement(usage::service,
					() -> this.assigner.keyUsed(usage.service(), usage.key(), usage.millis(), now)));
		logImplausible(entry, report);
	}

	private void processElement(Supplier<String> element, Runnable work) {
		this.guard.run("process report", element, work);
	}

	private void responsesReported(String entry, TargetUse usage, long now) {
		this.healths.find(usage.target())
			.ifPresent((health) -> health.recordResponses(entry, usage.expectedMillis(), usage.elapsedMillis(), now));
		this.state.target(usage.target())
			.ifPresent((target) -> this.observations.responsesReported(target.service(), usage));
	}

	// Logs once for each entry instance that elements of its report weren't used.
	private void logImplausible(String entry, EntryReport report) {
		long dropped = report.implausible();
		if (dropped > 0 && this.implausibleEntries.size() < MAX_LOGGED_ENTRIES && this.implausibleEntries.add(entry)) {
			this.output.decision("report-elements-dropped", "entry", entry, "elements", dropped);
		}
	}

	// Treats a target that says in its responses that it leaves like one that says so
	// in a heartbeat.
	private void targetLeaves(String entry, Owner owner) {
		this.targets.drain(owner).ifPresent((command) -> {
			this.output.decision("target-leaves", "target", owner.target(), "born", owner.born(), "entry", entry);
			this.output.propose(command);
		});
	}

	/**
	 * Reserves a permit to send one request to a target whose request rate is limited.
	 * @param target the name of the target
	 * @param perSecond the rate at which all entry instances together may send requests,
	 * as far as the asking one knows
	 * @param stated the limit that the target stated, if it is known
	 * @param maxDelayNanos the longest time that the request may wait, in nanoseconds
	 * @param now the monotonic time in nanoseconds
	 * @return the reservation
	 */
	public Reservation reserve(String target, double perSecond, Optional<Observation> stated, long maxDelayNanos,
			long now) {
		stated.filter(Observation::plausible).ifPresent((limit) -> this.observations.received(limit, now));
		return this.observations.reserve(target, perSecond, maxDelayNanos, now);
	}

	/**
	 * Returns the observations for the view of entry instances.
	 * @return the published observations
	 */
	public List<Observed> viewObservations() {
		return this.observations.published();
	}

	/**
	 * Updates the leases and the health of targets after a command was committed and
	 * applied to the replicated state.
	 * @param command the command
	 * @param now the monotonic time in nanoseconds
	 */
	public void commandApplied(FleetCommand command, long now) {
		// An applied command is no longer pending either.
		commandRejected(command);
		this.grantModes.applied(command);
		if (command instanceof RecordTarget record) {
			quarantineUnknownOwners(record.target(), now);
			if (this.healths.recorded(record.target(), now)) {
				this.assigner.targetChanged(now);
			}
			this.viewChanges++;
		}
		else if (command instanceof ForgetTarget forget && this.state.target(forget.owner().target()).isEmpty()) {
			this.healths.forget(forget.owner().target());
			this.viewChanges++;
		}
		else if (command instanceof FleetCommand.SetDomainOut) {
			this.viewChanges++;
		}
		this.state.keyedServices()
			.forEach((service) -> this.leases.applyAssignment(service, this.state.keys(service), now));
		this.assigner.followPlannedMoves();
		this.viewChanges++;
	}

	// The owner of a range may be unknown by now because it started again, or because it
	// left and was forgotten when many others left. Neither proves that the keys are
	// free.
	private void quarantineUnknownOwners(FleetTarget recorded, long now) {
		this.leases.all()
			.filter((lease) -> this.state.target(lease.range().owner()).isEmpty())
			.toList()
			.forEach((lease) -> {
				// A reply to a heartbeat reaches only the incarnation that sent it.
				boolean startedAgain = lease.range().owner().target().equals(recorded.name());
				this.leases.quarantine(lease, startedAgain && grantedByHeartbeat(lease.service()), now);
			});
	}

	/**
	 * Records that a proposed command wasn't appended to the log, so that it may be
	 * proposed again.
	 * @param command the command
	 */
	public void commandRejected(FleetCommand command) {
		this.pendingCommands.remove(command);
		this.pendingAssignments.values().remove(command);
		this.targets.settled(command);
		this.grantModes.settled(command);
	}

	/**
	 * Treats the targets of a failure domain as cold, because they have received no
	 * requests while the domain was out of service. A heartbeat that may have been sent
	 * before doesn't shorten the period.
	 * @param domain the failure domain
	 * @param coldMillis the duration of the cold period in milliseconds
	 * @param returnedNanos when the domain returned to service, at the earliest, as
	 * monotonic time in nanoseconds
	 * @param now the monotonic time in nanoseconds
	 */
	public void domainReturned(String domain, long coldMillis, long returnedNanos, long now) {
		this.healths.domainReturned(domain, coldMillis, returnedNanos, now);
	}

	/**
	 * Records the outcome of a grant.
	 * @param lease the lease that was granted or renewed
	 * @param outcome the outcome
	 * @param now the monotonic time in nanoseconds
	 */
	public void grantReturned(RangeLease lease, GrantOutcome outcome, long now) {
		boolean serving = lease.serving();
		String formerOutcome = lastOutcome(lease);
		this.leases.grantReturned(lease, outcome, now);
		// A grant that was withheld says nothing about the target.
		if (outcome != GrantOutcome.NOT_SENT || mayGrant(lease)) {
			recordCall(lease, outcome == GrantOutcome.CONFIRMED || outcome == GrantOutcome.HIGHER_FENCE_SEEN, now);
		}
		forgetIfReplaced(lease.range().owner(), outcome);
		if (lease.refusals() >= CallDelivery.MAX_REFUSALS) {
			health(lease.range().owner(), now).ifPresent((health) -> health.recordRefusals(now));
		}
		if (serving != lease.serving()) {
			this.viewChanges++;
		}
		if (!serving || outcome != GrantOutcome.CONFIRMED) {
			this.output.decision("grant", "service", lease.service(), "keys", format(lease.range().keys()), "target",
					lease.range().owner().target(), "fence", lease.range().fence(), "outcome", outcome, "lease-left",
					leftMillis(lease, now), "last-grant", formerOutcome, "unanswered-for", unansweredMillis(lease, now),
					"refusals", lease.refusals(), "highest-fence", this.state.highestFence());
		}
		if (!serving && lease.serving()) {
			moveEnded(lease, now);
		}
	}

	/**
	 * Returns whether a grant that was decided on may still be sent. In a queue it may
	 * outlast its lease, whose owner has started again, or whose range has a new fence.
	 * @param lease the lease that the grant begins or renews
	 * @return whether it may be sent
	 */
	public boolean mayGrant(RangeLease lease) {
		return this.leases.current(lease) && !ownerChangePending(lease);
	}

	// Reports for how long keys had no owner if they were released for this one.
	void moveEnded(RangeLease lease, long now) {
		this.leases.endMove(lease).ifPresent((since) -> this.output.keysMoved(lease, now - since));
	}

	/**
	 * Records the outcome of a release.
	 * @param lease the lease that was to be released
	 * @param outcome the outcome
	 * @param handover the handover token for the next owner, if the target returned one
	 * @param now the monotonic time in nanoseconds
	 */
	public void releaseReturned(RangeLease lease, GrantOutcome outcome, Optional<String> handover, long now) {
		boolean answered = outcome == GrantOutcome.CONFIRMED;
		long unansweredMillis = unansweredMillis(lease, now);
		forgetIfReplaced(lease.range().owner(), outcome);
		this.leases.releaseReturned(lease, answered, handover, now);
		recordCall(lease, answered, now);
		this.output.decision("release", "service", lease.service(), "keys", format(lease.range().keys()), "target",
				lease.range().owner().target(), "fence", lease.range().fence(), "release-fence", lease.releaseFence(),
				"answered", answered, "last-grant", lastOutcome(lease), "unanswered-for", unansweredMillis,
				"lease-left", leftMillis(lease, now));
	}

	// Forgets a target at whose address another one answers. A rejected call shows that
	// only at an address that another target states.
	private void forgetIfReplaced(Owner owner, GrantOutcome outcome) {
		boolean replaced = outcome == GrantOutcome.OTHER_TARGET || (outcome == GrantOutcome.REJECTED
				&& this.state.target(owner).filter(this::addressTaken).isPresent());
		if (replaced) {
			proposeIfNotPending(new ForgetTarget(owner));
		}
	}

	/**
	 * Runs one round of periodic work: removes lost targets, sends due grants and
	 * releases, assigns ranges without an owner and balances the load.
	 * @param now the monotonic time in nanoseconds
	 */
	public void tick(long now) {
		this.guard.run("forget lost targets", () -> "all", () -> forgetLostTargets(now));
		this.grantModes.services()
			.forEach((service) -> this.guard.run("change grant mode", () -> service,
					() -> this.grantModes.maintain(service, now)));
		this.callDelivery.tickBegins();
		this.leases.all()
			.toList()
			.forEach((lease) -> this.guard.run("maintain lease",
					() -> lease.service() + ' ' + format(lease.range().keys()), () -> maintainLease(lease, now)));
		this.grantModes.services()
			.forEach((service) -> this.guard.run("assign keys", () -> service,
					() -> this.assigner.assignUnownedRanges(service, now)));
		if (now - this.lastBalanceNanos >= BALANCE_INTERVAL_NANOS) {
			this.lastBalanceNanos = now;
			this.assigner.decayLoads(now);
			this.observations.expire(now);
			this.grantModes.services().forEach((service) -> this.guard.run("balance keys", () -> service, () -> {
				this.assigner.balance(service, now);
				this.assigner.mergeAdjacentRanges(service, now);
			}));
		}
	}

	/**
	 * Returns a counter that rises whenever the targets or key owners of the view may
	 * have changed.
	 * @return the counter
	 */
	public long viewChanges() {
		return this.viewChanges;
	}

	/**
	 * Returns the number of leases.
	 * @return the number of leases
	 */
	public long leaseCount() {
		return this.leases.all().count();
	}

	/**
	 * Returns the number of leases that aren't serving, so that requests for their keys
	 * wait.
	 * @return the number of leases
	 */
	public long unservedLeaseCount() {
		return this.leases.all().filter((lease) -> !lease.serving()).count();
	}

	/**
	 * Returns figures about the leases.
	 * @param now the monotonic time in nanoseconds
	 * @return the figures
	 */
	public LeaseSummary leaseSummary(long now) {
		return this.leases.summary(now);
	}

	/**
	 * Returns the time in which all leases end that aren't renewed. At the beginning of a
	 * leadership term, grants of former leaders may hold until then.
	 * @param now the monotonic time in nanoseconds
	 * @return the time from now in milliseconds
	 */
	public long lastLeaseLeftMillis(long now) {
		return (this.leases.lastEndNanos(now) - now) / NANOS_PER_MILLI;
	}

	/**
	 * Returns the targets for the view of entry instances, without those that left.
	 * @param now the monotonic time in nanoseconds
	 * @return the targets
	 */
	public List<ViewTarget> viewTargets(long now) {
		return this.state.targets()
			.stream()
			.filter((target) -> target.stage() != Stage.LEFT)
			.flatMap((target) -> this.guard.call("view target", target::name, () -> viewTarget(target, now)).stream())
			.toList();
	}

	private ViewTarget viewTarget(FleetTarget target, long now) {
		TargetHealth health = health(target, now);
		return new ViewTarget(target.name(), target.service(), target.address(), target.domain(), target.slots(),
				usable(target), health.coldLeftMillis(now), target.born(), health.coldAssumed(), health.coldRecorded());
	}

	/**
	 * Returns the key owners for the view of entry instances.
	 * @return the ranges of each sharded service
	 */
	public Map<String, List<ViewRange>> viewKeys() {
		return this.grantModes.services().stream().collect(Collectors.toMap((service) -> service, this::viewRanges));
	}

	private List<ViewRange> viewRanges(String service) {
		List<ViewRange> merged = new ArrayList<>();
		for (RangeLease lease : this.leases.of(service)) {
			String owner = (lease.serving()) ? lease.range().owner().target() : "";
			KeyRange keys = lease.range().keys();
			int last = merged.size() - 1;
			if (last >= 0 && merged.get(last).owner().equals(owner) && merged.get(last).last() + 1 == keys.first()) {
				merged.set(last, new ViewRange(merged.get(last).first(), keys.last(), owner));
			}
			else {
				merged.add(new ViewRange(keys.first(), keys.last(), owner));
			}
		}
		return merged;
	}

	// Returns false for a heartbeat that isn't newer than all received before.
	private boolean recordHeartbeat(TargetHeartbeat heartbeat, FleetTarget known, long now) {
		if (!this.healths.recordHeartbeat(heartbeat, known, now)) {
			return false;
		}
		if (grantedByHeartbeat(known.service()) && this.heartbeatDelivery.reported(known, heartbeat.keys())) {
			this.assigner.assignUnownedRanges(known.service(), now);
		}
		return true;
	}

	boolean addressTaken(FleetTarget target) {
		return this.targets.addressTaken(target);
	}

	private void recordCall(RangeLease lease, boolean answered, long now) {
		this.state.target(lease.range().owner()).ifPresent((target) -> {
			TargetHealth health = health(target, now);
			if (health.suspect(now) != (!answered)) {
				this.output.decision("target-contact", "target", target.name(), "answered", answered, "relay",
						health.relay(now).orElse("none"));
			}
			health.recordCall(answered, now);
		});
	}

	private void forgetLostTargets(long now) {
		Set<Owner> owners = this.leases.all()
			.filter((lease) -> !this.leases.assignable(lease, now))
			.map((lease) -> lease.range().owner())
			.collect(Collectors.toSet());
		Set<String> replaced = this.targets.replaced();
		this.state.targets()
			.stream()
			.filter((target) -> !owners.contains(target.owner()))
			.toList()
			.forEach((target) -> this.guard.run("forget lost targets", target::name, () -> {
				if (replaced.contains(target.name())
						|| (target.stage() != Stage.LEFT && health(target, now).lost(now))) {
					proposeIfNotPending(new ForgetTarget(target.owner()));
				}
			}));
	}

	private void maintainLease(RangeLease lease, long now) {
		this.state.target(lease.range().owner())
			.filter((target) -> !ownerChangePending(lease))
			.ifPresent((target) -> delivery(lease.service()).maintain(lease, target, now));
	}

	GrantDelivery delivery(String service) {
		return grantedByHeartbeat(service) ? this.heartbeatDelivery : this.callDelivery;
	}

	private boolean grantedByHeartbeat(String service) {
		return this.grantModes.byHeartbeat(service);
	}

	// Returns whether a proposed command takes the range away from its owner. Once it is
	// committed, the next owner may hold the range, so the lease must not be renewed.
	boolean ownerChangePending(RangeLease lease) {
		Owner owner = lease.range().owner();
		if (this.targets.startsAgain(owner)) {
			return true;
		}
		if (this.pendingCommands.isEmpty()) {
			return false;
		}
		boolean reassigned = this.pendingAssignments.get(lease.service()) instanceof AssignKeys assign && assign.moves()
			.stream()
			.anyMatch((move) -> !move.owner().equals(owner) && move.keys().overlaps(lease.range().keys()));
		return reassigned || this.pendingCommands.contains(new ForgetTarget(owner));
	}

	Stream<RangeLease> leasesPlannedFor(Owner receiver) {
		return this.assigner.leasesPlannedFor(receiver);
	}

	Optional<Owner> plannedReceiver(RangeLease lease) {
		return this.assigner.plannedReceiver(lease);
	}

	Optional<TargetHealth> health(Owner owner, long now) {
		return this.healths.of(owner, now);
	}

	void viewChanged() {
		this.viewChanges++;
	}

	TargetHealth health(FleetTarget target, long now) {
		return this.healths.of(target, now);
	}

	void proposeHigherFence(RangeLease lease) {
		Move sameOwner = new Move(lease.range().keys(), lease.range().owner());
		AssignKeys command = new AssignKeys(lease.service(), List.of(sameOwner));
		if (this.pendingCommands.add(command)) {
			this.output.decision("refence", "service", lease.service(), "keys", format(lease.range().keys()), "target",
					lease.range().owner().target(), "fence", lease.range().fence());
			this.output.propose(command);
		}
	}

	// Names the outcome that this leader knows of the last grant with the present fence.
	static String lastOutcome(RangeLease lease) {
		return lease.lastOutcome().map(GrantOutcome::name).orElse("none");
	}

	// Returns the age of the oldest grant that may be applied late, -1 if there is none.
	static long unansweredMillis(RangeLease lease, long now) {
		return lease.unansweredSinceNanos().map((since) -> (now - since) / NANOS_PER_MILLI).orElse(-1L);
	}

	static long leftMillis(RangeLease lease, long now) {
		return (lease.endNanos() - now) / NANOS_PER_MILLI;
	}

	boolean mayKeepKeys(FleetTarget target) {
		return target.stage() == Stage.SERVING && !this.state.domainsOut().contains(target.domain());
	}

	private boolean usable(FleetTarget target) {
		return target.stage().usable() && !this.state.domainsOut().contains(target.domain());
	}

	// Returns whether an assignment of keys of a service was proposed and has no result.
	boolean assignmentPending(String service) {
		return this.pendingAssignments.containsKey(service);
	}

	void proposeIfNotPending(FleetCommand command) {
		if (this.pendingCommands.add(command)) {
			if (command instanceof AssignKeys assign) {
				this.pendingAssignments.put(assign.service(), command);
			}
			this.output.propose(command);
		}
	}

	static String format(KeyRange keys) {
		return keys.first() + "-" + keys.last();
	}

}

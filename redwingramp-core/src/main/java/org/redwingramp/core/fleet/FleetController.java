package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.redwingramp.core.fleet.FleetCommand.AssignKeys;
import org.redwingramp.core.fleet.FleetCommand.ForgetTarget;
import org.redwingramp.core.fleet.FleetCommand.Move;
import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyLoad;
import org.redwingramp.core.ownership.KeyPlanner;
import org.redwingramp.core.ownership.KeyPlanner.Bin;
import org.redwingramp.core.ownership.KeyPlanner.Shift;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.LeaseTable;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.OwnedRange;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.ownership.RangeLease.Phase;

/**
 * What the control leader does for targets and keys: it notes heartbeats, grants and
 * renews, moves keys off targets that drain, are overloaded or lost, and makes the view
 * for entry instances. Invariants: a range gets a new owner only once no owner can hold
 * it; the new owner is committed before it is granted. Reads no clock and does no I/O.
 * Not thread safe.
 */
public final class FleetController {

	/** The time between two rounds of balancing, in nanoseconds. */
	private static final long BALANCE_NANOS = 400_000_000L;

	/** The most ranges that may be on the move for the sake of balance. */
	private static final int MAX_MOVING = 12;

	/**
	 * The first keys of a service are given out once no target has joined for this long,
	 * so that the first ones to join don't get everything. Longer than a heartbeat
	 * interval.
	 */
	private static final long SETTLE_NANOS = 2_000_000_000L;

	/**
	 * A range isn't moved again sooner, in nanoseconds: each move makes its requests
	 * wait, and the effect of the last one has to show first.
	 */
	private static final long SETTLED_NANOS = 1_500_000_000L;

	/**
	 * The most grants sent in one round. A new leader has to renew all leases at once; in
	 * one round that would hold up its heartbeats. At 20 rounds a second it renews 640
	 * leases within the renewal time.
	 */
	private static final int MAX_GRANTS = 40;

	/** The most runs of neighbouring ranges that one command joins. */
	private static final int MAX_JOINS = 16;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final FleetState state;

	private final FleetOutput output;

	private final LeaseTable leases;

	private final Map<String, TargetVitals> vitals = new HashMap<>();

	private final Map<String, KeyLoad> loads = new HashMap<>();

	private final Map<RangeLease, Owner> receivers = new HashMap<>();

	private final Set<FleetCommand> proposed = new HashSet<>();

	private final Map<String, FleetCommand> placing = new HashMap<>();

	private final KeyPlanner planner = new KeyPlanner();

	private Set<String> shardedServices = Set.of();

	private int grantsLeft;

	private long balancedNanos;

	private long joinedNanos;

	private long viewChanges;

	/**
	 * Creates the controller of a leadership.
	 * @param state the replicated state, with everything that was committed before
	 * @param output carries out what is decided
	 * @param timing the timing of grants
	 * @param now the monotonic time in nanoseconds
	 */
	public FleetController(FleetState state, FleetOutput output, LeaseTiming timing, long now) {
		this.state = state;
		this.output = output;
		this.leases = new LeaseTable(timing);
		state.targets().forEach((target) -> this.vitals.put(target.name(), new TargetVitals(target.born(), now)));
		state.keyedServices().forEach((service) -> {
			this.leases.adopt(service, state.keys(service), now);
			this.leases.embargo(service, state.keys(service).gaps(), now);
		});
	}

	/**
	 * Tells which services are sharded by key.
	 * @param services their names
	 */
	public void shardedServices(Set<String> services) {
		this.shardedServices = Set.copyOf(services);
	}

	/**
	 * Returns the command that a heartbeat asks for.
	 * @param beat the heartbeat
	 * @param now the monotonic time in nanoseconds
	 * @return the command to commit before the heartbeat is acknowledged, or empty if
	 * nothing changes
	 */
	public Optional<FleetCommand> heartbeat(TargetHeartbeat beat, long now) {
		FleetTarget target = beat.target();
		Optional<FleetTarget> known = this.state.target(target.name());
		if (known.filter((former) -> former.born() > target.born()).isPresent() || addressTaken(target)) {
			this.output.decision("heartbeat-stale", "target", target.name(), "born", target.born(), "sequence",
					beat.sequence());
			return Optional.empty();
		}
		if (known.filter((former) -> former.born() == target.born()).isEmpty()) {
			TargetVitals fresh = new TargetVitals(target.born(), now);
			fresh.beat(beat.sequence(), beat.coldLeftMillis() * NANOS_PER_MILLI, now);
			this.vitals.put(target.name(), fresh);
			return Optional.of(new RecordTarget(target));
		}
		return knownBeat(beat, known.get(), now);
	}

	/**
	 * Returns the command that a target's leave asks for.
	 * @param name the target's name
	 * @param born the start of its life, if it says so
	 * @return the command to commit before the leave is acknowledged
	 */
	public Optional<FleetCommand> leave(String name, Optional<Long> born) {
		return this.state.target(name)
			.filter((target) -> born.isEmpty() || born.get() == target.born())
			.filter((target) -> target.stage() != Stage.LEFT)
			.map((target) -> new RecordTarget(target.with(Stage.LEFT)));
	}

	/**
	 * Takes over what an entry instance observed.
	 * @param entry the entry instance
	 * @param report the report
	 * @param now the monotonic time in nanoseconds
	 */
	public void report(String entry, EntryReport report, long now) {
		report.targets()
			.stream()
			.filter((use) -> use.answers() > 0 && this.vitals.containsKey(use.target()))
			.forEach((use) -> this.vitals.get(use.target())
				.served(entry, use.expectedMillis(), use.elapsedMillis(), now));
		report.keys()
			.stream()
			.filter((use) -> use.key() >= 0 && use.key() < KeyRange.KEYS)
			.forEach((use) -> load(use.service(), now).add(use.key(), use.millis()));
	}

	/**
	 * Follows a command that was committed and applied.
	 * @param command the command
	 * @param now the monotonic time in nanoseconds
	 */
	public void applied(FleetCommand command, long now) {
		rejected(command);
		if (command instanceof RecordTarget record) {
			TargetVitals seen = this.vitals.get(record.target().name());
			embargoFormerLives(record.target(), now);
			if (seen == null || seen.born() != record.target().born()) {
				this.vitals.put(record.target().name(), new TargetVitals(record.target().born(), now));
			}
			this.joinedNanos = now;
			this.viewChanges++;
		}
		else if (command instanceof ForgetTarget forget && this.state.target(forget.owner().target()).isEmpty()) {
			this.vitals.remove(forget.owner().target());
			this.viewChanges++;
		}
		else if (command instanceof FleetCommand.SetDomainOut) {
			this.viewChanges++;
		}
		this.state.keyedServices().forEach((service) -> this.leases.follow(service, this.state.keys(service), now));
		this.receivers.keySet().removeIf((lease) -> !this.leases.current(lease));
		this.viewChanges++;
	}

	private void embargoFormerLives(FleetTarget target, long now) {
		this.leases.all()
			.map((lease) -> lease.range().owner())
			.filter((owner) -> owner.target().equals(target.name()) && owner.born() != target.born())
			.distinct()
			.toList()
			.forEach((owner) -> this.leases.embargo(owner, now));
	}

	/**
	 * Notes that a proposed command wasn't appended, so that it may be proposed again.
	 * @param command the command
	 */
	public void rejected(FleetCommand command) {
		this.proposed.remove(command);
		this.placing.values().remove(command);
	}

	/**
	 * Treats the targets of a failure domain as cold, since they had no work.
	 * @param domain the failure domain
	 * @param coldMillis how long
	 * @param now the monotonic time in nanoseconds
	 */
	public void cold(String domain, long coldMillis, long now) {
		this.state.targets()
			.stream()
			.filter((target) -> target.domain().equals(domain) && this.vitals.containsKey(target.name()))
			.forEach((target) -> this.vitals.get(target.name()).coldFor(coldMillis * NANOS_PER_MILLI, now));
		this.viewChanges++;
	}

	/**
	 * Notes what became of a grant.
	 * @param lease the lease
	 * @param outcome the outcome
	 * @param now the monotonic time in nanoseconds
	 */
	public void grantReturned(RangeLease lease, GrantOutcome outcome, long now) {
		boolean serving = lease.serving();
		this.leases.grantReturned(lease, outcome);
		called(lease, outcome == GrantOutcome.CONFIRMED || outcome == GrantOutcome.HIGHER_FENCE_SEEN, now);
		if (outcome == GrantOutcome.OTHER_TARGET) {
			proposeOnce(new ForgetTarget(lease.range().owner()));
		}
		if (serving != lease.serving()) {
			this.viewChanges++;
		}
		if (!serving || outcome != GrantOutcome.CONFIRMED) {
			this.output.decision("grant", "service", lease.service(), "keys", text(lease.range().keys()), "target",
					lease.range().owner().target(), "fence", lease.range().fence(), "outcome", outcome);
		}
	}

	/**
	 * Notes what became of a release.
	 * @param lease the lease
	 * @param outcome the outcome
	 * @param handover the token for the next owner
	 * @param now the monotonic time in nanoseconds
	 */
	public void releaseReturned(RangeLease lease, GrantOutcome outcome, Optional<String> handover, long now) {
		boolean answered = outcome == GrantOutcome.CONFIRMED;
		if (outcome == GrantOutcome.OTHER_TARGET) {
			proposeOnce(new ForgetTarget(lease.range().owner()));
		}
		this.leases.releaseReturned(lease, answered, handover);
		called(lease, answered, now);
		this.output.decision("release", "service", lease.service(), "keys", text(lease.range().keys()), "target",
				lease.range().owner().target(), "fence", lease.range().fence(), "answered", answered);
	}

	/**
	 * Does what is due.
	 * @param now the monotonic time in nanoseconds
	 */
	public void tick(long now) {
		forgetLost(now);
		this.grantsLeft = MAX_GRANTS;
		this.leases.all().toList().forEach((lease) -> tend(lease, now));
		this.shardedServices.forEach((service) -> place(service, now));
		if (now - this.balancedNanos >= BALANCE_NANOS) {
			this.balancedNanos = now;
			this.loads.values().forEach((load) -> load.decay(now));
			this.shardedServices.forEach((service) -> {
				balance(service, now);
				join(service, now);
			});
		}
	}

	/**
	 * Returns a number that changes with the targets and keys of the view.
	 * @return the number
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
	 * Returns the number of leases whose keys aren't served now.
	 * @return the number of leases
	 */
	public long idleLeaseCount() {
		return this.leases.all().filter((lease) -> !lease.serving()).count();
	}

	/**
	 * Returns the targets as entry instances see them.
	 * @param now the monotonic time in nanoseconds
	 * @return the targets
	 */
	public List<ViewTarget> viewTargets(long now) {
		return this.state.targets()
			.stream()
			.filter((target) -> target.stage() != Stage.LEFT)
			.map((target) -> new ViewTarget(target.name(), target.service(), target.address(), target.domain(),
					target.slots(), usable(target), this.vitals.get(target.name()).coldLeftMillis(now)))
			.toList();
	}

	/**
	 * Returns the owners of keys as entry instances see them.
	 * @return the ranges by service
	 */
	public Map<String, List<ViewRange>> viewKeys() {
		return this.shardedServices.stream().collect(Collectors.toMap((service) -> service, this::viewRanges));
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

	private Optional<FleetCommand> knownBeat(TargetHeartbeat beat, FleetTarget known, long now) {
		TargetVitals seen = this.vitals.get(known.name());
		boolean wasCold = seen.cold(now);
		if (!seen.beat(beat.sequence(), beat.coldLeftMillis() * NANOS_PER_MILLI, now)) {
			return Optional.empty();
		}
		if (wasCold != seen.cold(now)) {
			this.viewChanges++;
		}
		boolean drains = known.stage() == Stage.SERVING && beat.target().stage() == Stage.DRAINING;
		return drains ? Optional.of(new RecordTarget(known.with(Stage.DRAINING))) : Optional.empty();
	}

	// A target that started later at the same address has taken the place of this one.
	private boolean addressTaken(FleetTarget target) {
		return this.state.targets()
			.stream()
			.anyMatch((other) -> other.address().equals(target.address()) && !other.name().equals(target.name())
					&& other.born() > target.born());
	}

	private void called(RangeLease lease, boolean answered, long now) {
		this.state.target(lease.range().owner()).ifPresent((target) -> {
			TargetVitals seen = this.vitals.get(target.name());
			if (seen.suspect(now) != (!answered)) {
				this.output.decision("target-contact", "target", target.name(), "answered", answered, "relay",
						seen.relay(now).orElse("none"));
			}
			seen.call(answered, now);
		});
	}

	private void forgetLost(long now) {
		Set<Owner> owners = this.leases.all()
			.filter((lease) -> !this.leases.free(lease, now))
			.map((lease) -> lease.range().owner())
			.collect(Collectors.toSet());
		Set<String> newerAtAddress = replacedTargets();
		this.state.targets()
			.stream()
			.filter((target) -> newerAtAddress.contains(target.name()) || (target.stage() != Stage.LEFT
					&& this.vitals.get(target.name()).lost(now) && !owners.contains(target.owner())))
			.toList()
			.forEach((target) -> proposeOnce(new ForgetTarget(target.owner())));
	}

	// A process that took over the address proves that the former one has ended.
	private Set<String> replacedTargets() {
		Map<String, FleetTarget> newest = new HashMap<>();
		Set<String> replaced = new HashSet<>();
		this.state.targets().forEach((target) -> {
			FleetTarget other = newest.get(target.address());
			if (other != null) {
				replaced.add((other.born() < target.born()) ? other.name() : target.name());
			}
			if (other == null || other.born() < target.born()) {
				newest.put(target.address(), target);
			}
		});
		return replaced;
	}

	private void tend(RangeLease lease, long now) {
		Optional<FleetTarget> owner = this.state.target(lease.range().owner());
		if (owner.isEmpty()) {
			return;
		}
		FleetTarget target = owner.get();
		TargetVitals seen = this.vitals.get(target.name());
		boolean reachable = !seen.suspect(now) && !(target.stage() == Stage.LEFT && seen.lost(now));
		if (!reachable || lease.callInFlight()) {
			return;
		}
		boolean granted = lease.phase() == Phase.HELD || lease.phase() == Phase.TO_GRANT;
		if (granted && lease.lateGrantPossible(now)) {
			refence(lease);
		}
		else if (granted && !keeps(target) && !lease.confirmFirst()) {
			release(lease, target, now);
		}
		else if (this.leases.releaseDue(lease, now)) {
			release(lease, target, now);
		}
		else if (this.grantsLeft > 0 && this.leases.grantDue(lease, now)) {
			this.grantsLeft--;
			this.leases.grantSent(lease, now);
			this.output.grant(lease, target, via(seen, now));
		}
	}

	// A grant without an answer may be applied seconds later. Once its target has seen a
	// higher fence, it refuses it.
	private void refence(RangeLease lease) {
		Move same = new Move(lease.range().keys(), lease.range().owner());
		AssignKeys command = new AssignKeys(lease.service(), List.of(same));
		if (this.proposed.add(command)) {
			this.output.decision("refence", "service", lease.service(), "keys", text(lease.range().keys()), "target",
					lease.range().owner().target(), "fence", lease.range().fence());
			this.output.propose(command);
		}
	}

	private void release(RangeLease lease, FleetTarget target, long now) {
		this.viewChanges++;
		this.leases.releaseSent(lease, now);
		this.output.release(lease, target, via(this.vitals.get(target.name()), now));
	}

	private Optional<String> via(TargetVitals seen, long now) {
		return seen.direct() ? Optional.empty() : seen.relay(now);
	}

	private void place(String service, long now) {
		List<RangeLease> free = this.leases.of(service)
			.stream()
			.filter((lease) -> this.leases.free(lease, now) && !willBeRenewed(lease, now))
			.toList();
		List<KeyRange> gaps = this.state.keys(service)
			.gaps()
			.stream()
			.filter((gap) -> this.leases.free(service, gap, now))
			.toList();
		if ((free.isEmpty() && gaps.isEmpty()) || this.placing.containsKey(service)) {
			return;
		}
		List<Bin> bins = bins(service, now, free);
		boolean first = this.state.keys(service).ranges().isEmpty() && now - this.joinedNanos < SETTLE_NANOS;
		if (bins.isEmpty() || first) {
			return;
		}
		Set<Owner> receiving = bins.stream().map(Bin::owner).collect(Collectors.toSet());
		List<Move> moves = new ArrayList<>();
		List<KeyRange> open = new ArrayList<>(gaps);
		free.forEach((lease) -> {
			Owner receiver = this.receivers.get(lease);
			if (receiver != null && receiving.contains(receiver)) {
				moves.add(new Move(lease.range().keys(), receiver));
			}
			else {
				open.add(lease.range().keys());
			}
		});
		this.planner.place(whole(open), bins, load(service, now))
			.forEach((placement) -> moves.add(new Move(placement.keys(), placement.owner())));
		moves.forEach((move) -> this.output.decision("assign", "service", service, "keys", text(move.keys()), "target",
				move.owner().target(), "slowness", this.vitals.get(move.owner().target()).slowness()));
		proposeOnce(new AssignKeys(service, moves));
	}

	// An unreleased lease that ran out is renewed if its owner can be reached again.
	private boolean willBeRenewed(RangeLease lease, long now) {
		boolean renewable = lease.phase() == Phase.HELD || lease.phase() == Phase.TO_GRANT;
		return renewable && this.state.target(lease.range().owner())
			.filter(this::keeps)
			.filter((target) -> !this.vitals.get(target.name()).suspect(now)
					&& !this.vitals.get(target.name()).lost(now))
			.isPresent();
	}

	private static List<KeyRange> whole(Collection<KeyRange> parts) {
		return parts.stream().sorted((left, right) -> Integer.compare(left.first(), right.first())).toList();
	}

	private void balance(String service, long now) {
		List<RangeLease> all = this.leases.of(service);
		if (all.stream().filter((lease) -> !lease.serving()).count() >= MAX_MOVING) {
			return;
		}
		List<OwnedRange> movable = all.stream()
			.filter((lease) -> lease.serving() && !lease.callInFlight() && ownerReachable(lease, now))
			.filter((lease) -> now - lease.sinceNanos() >= SETTLED_NANOS)
			.filter((lease) -> lease.phase() == Phase.HELD && !lease.lateGrantPossible(now))
			.map(RangeLease::range)
			.toList();
		List<Bin> bins = bins(service, now, List.of());
		List<Shift> shifts = new ArrayList<>(this.planner.balance(bins, movable, load(service, now)));
		Set<Owner> moving = shifts.stream()
			.flatMap((shift) -> Stream.of(shift.owner(), shift.receiver()))
			.collect(Collectors.toSet());
		shifts.addAll(this.planner.tidy(bins, all.stream().map(RangeLease::range).toList(), Set.copyOf(movable), moving,
				load(service, now)));
		shifts.forEach((shift) -> start(service, shift, now));
	}

	// Gives neighbouring ranges of one owner a common fence, so that one call renews
	// them.
	private void join(String service, long now) {
		if (this.placing.containsKey(service)) {
			return;
		}
		List<Move> joined = this.leases
			.joinable(service,
					(lease) -> lease.phase() == Phase.HELD && lease.serving() && !lease.lateGrantPossible(now)
							&& ownerReachable(lease, now))
			.stream()
			.limit(MAX_JOINS)
			.map((range) -> new Move(range.keys(), range.owner()))
			.toList();
		if (!joined.isEmpty()) {
			joined.forEach((move) -> this.output.decision("join", "service", service, "keys", text(move.keys()),
					"target", move.owner().target()));
			proposeOnce(new AssignKeys(service, joined));
		}
	}

	private boolean ownerReachable(RangeLease lease, long now) {
		return this.state.target(lease.range().owner())
			.filter((target) -> !this.vitals.get(target.name()).suspect(now))
			.isPresent();
	}

	private void start(String service, Shift shift, long now) {
		Optional<RangeLease> whole = this.leases.find(service, shift.keys())
			.filter((lease) -> lease.range().owner().equals(shift.owner()));
		Optional<FleetTarget> owner = this.state.target(shift.owner());
		if (whole.isEmpty() || owner.isEmpty()) {
			return;
		}
		RangeLease part = this.leases.split(whole.get(), shift.keys());
		this.receivers.put(part, shift.receiver());
		this.output.decision("move", "service", service, "keys", text(shift.keys()), "target", shift.owner().target(),
				"receiver", shift.receiver().target(), "slowness", this.vitals.get(shift.owner().target()).slowness());
		release(part, owner.get(), now);
	}

	private List<Bin> bins(String service, long now, List<RangeLease> without) {
		KeyLoad load = load(service, now);
		return this.state.targets()
			.stream()
			.filter((target) -> target.service().equals(service) && receives(target, now))
			.map((target) -> new Bin(target.owner(), target.slots(), this.vitals.get(target.name()).slowness(),
					ranges(service, target.owner(), without), load))
			.toList();
	}

	// Ranges on their way to a receiver count as its own.
	private Stream<KeyRange> ranges(String service, Owner owner, List<RangeLease> without) {
		return this.leases.of(service)
			.stream()
			.filter((lease) -> !without.contains(lease))
			.filter((lease) -> this.receivers.getOrDefault(lease, lease.range().owner()).equals(owner))
			.map((lease) -> lease.range().keys());
	}

	private boolean keeps(FleetTarget target) {
		return target.stage() == Stage.SERVING && !this.state.domainsOut().contains(target.domain());
	}

	private boolean receives(FleetTarget target, long now) {
		TargetVitals seen = this.vitals.get(target.name());
		return keeps(target) && !seen.cold(now) && !seen.suspect(now) && !seen.lost(now);
	}

	private boolean usable(FleetTarget target) {
		return target.stage().usable() && !this.state.domainsOut().contains(target.domain());
	}

	private KeyLoad load(String service, long now) {
		return this.loads.computeIfAbsent(service, (name) -> new KeyLoad(now));
	}

	private void proposeOnce(FleetCommand command) {
		if (this.proposed.add(command)) {
			if (command instanceof AssignKeys assign) {
				this.placing.put(assign.service(), command);
			}
			this.output.propose(command);
		}
	}

	private static String text(KeyRange keys) {
		return keys.first() + "-" + keys.last();
	}

}

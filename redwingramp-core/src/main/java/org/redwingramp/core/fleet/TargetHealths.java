package org.redwingramp.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.traffic.ServiceSpec;

/**
 * The health of all targets in one leadership term, and from what their cold periods
 * follow: heartbeats, returns of failure domains, and assumptions about targets that
 * haven't been heard. Invariants: a target has the health of one incarnation only; one
 * that is heard for the first time shortly after the return of its domain counts as cold
 * like those that were known before; an assumption never replaces what a heartbeat said.
 * Not thread safe.
 */
final class TargetHealths {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final FleetState state;

	private final FleetOutput output;

	private final Runnable changed;

	private final Map<String, TargetHealth> healthByTarget = new HashMap<>();

	private final Map<String, DomainReturn> returnByDomain = new HashMap<>();

	private Map<String, Long> coldMillisByService = Map.of();

	// Begins with the targets that earlier leaders recorded. The action is run whenever
	// the
	// view of a target may have changed.
	TargetHealths(FleetState state, FleetOutput output, Runnable changed, long now) {
		this.state = state;
		this.output = output;
		this.changed = changed;
		state.targets().forEach((target) -> this.healthByTarget.put(target.name(), TargetHealth.adopted(target, now)));
		output.decision("cold-assumed", "targets", state.targets().size(), "recorded-warm",
				state.targets().stream().filter(FleetTarget::warm).count());
	}

	// Sets for how long the targets of each service are cold.
	void configure(Collection<ServiceSpec> configured) {
		this.coldMillisByService = configured.stream()
			.collect(Collectors.toUnmodifiableMap(ServiceSpec::name, ServiceSpec::coldMillis));
		this.state.targets()
			.forEach((target) -> find(target.name()).ifPresent((health) -> assumeColdPeriod(health, target)));
	}

	// A leader that receives no heartbeat of a target doesn't know when it became cold.
	private TargetHealth assumeColdPeriod(TargetHealth health, FleetTarget target) {
		health.assumeColdPeriod(this.coldMillisByService.getOrDefault(target.service(), 0L) * NANOS_PER_MILLI);
		return health;
	}

	Optional<TargetHealth> find(String target) {
		return Optional.ofNullable(this.healthByTarget.get(target));
	}

	// A target has no health yet if following the command that recorded it failed.
	TargetHealth of(FleetTarget target, long now) {
		return this.healthByTarget.computeIfAbsent(target.name(), (name) -> unheard(target, now));
	}

	// Returns the health of a target, or empty if the incarnation isn't recorded.
	Optional<TargetHealth> of(Owner owner, long now) {
		return this.state.target(owner).map((target) -> of(target, now));
	}

	private TargetHealth unheard(FleetTarget target, long now) {
		return assumeColdPeriod(joined(target, now), target);
	}

	// The first heartbeat of a target may have been sent before its domain returned, too.
	private TargetHealth joined(FleetTarget target, long now) {
		TargetHealth health = TargetHealth.joined(target.born(), now);
		Optional.ofNullable(this.returnByDomain.get(target.domain()))
			.filter((last) -> now - last.returnedNanos() < last.coldNanos())
			.ifPresent((last) -> health.domainReturned(last.coldNanos(), last.returnedNanos()));
		return health;
	}

	// Records the first heartbeat of an incarnation that no leader has recorded.
	TargetHealth recordFirstHeartbeat(TargetHeartbeat heartbeat, long now) {
		FleetTarget target = heartbeat.target();
		TargetHealth health = joined(target, now);
		health.recordFirstHeartbeat(heartbeat.sequence(), heartbeat.coldLeftMillis() * NANOS_PER_MILLI, now);
		this.healthByTarget.put(target.name(), health);
		logColdPeriod(target, health, "joined", now);
		// Entry instances may know the former incarnation as a warm target.
		this.changed.run();
		return health;
	}

	// Returns false for a heartbeat that isn't newer than all received before.
	boolean recordHeartbeat(TargetHeartbeat heartbeat, FleetTarget known, long now) {
		TargetHealth health = of(known, now);
		boolean wasCold = health.cold(now);
		boolean wasAssumed = health.coldAssumed();
		if (!health.recordHeartbeat(heartbeat.sequence(), heartbeat.coldLeftMillis() * NANOS_PER_MILLI, now)) {
			return false;
		}
		boolean endMoved = health.coldEndMoved(now);
		if (endMoved || wasCold != health.cold(now) || wasAssumed) {
			this.changed.run();
			logColdPeriod(known, health, "heartbeat", now);
		}
		return true;
	}

	private void logColdPeriod(FleetTarget target, TargetHealth health, String cause, long now) {
		this.output.decision("cold-period", "target", target.name(), "born", target.born(), "cause", cause, "cold-left",
				health.coldLeftMillis(now), "may-precede-return", health.mayPrecedeReturn(now));
	}

	// Follows a command that recorded a target, possibly a new incarnation of it. Returns
	// whether the target has joined or its stage has changed.
	boolean recorded(FleetTarget target, long now) {
		TargetHealth health = this.healthByTarget.get(target.name());
		if (health == null || health.born() != target.born()) {
			this.healthByTarget.put(target.name(), unheard(target, now));
		}
		return this.healthByTarget.get(target.name()).recordStage(target.stage());
	}

	void forget(String target) {
		this.healthByTarget.remove(target);
	}

	// Treats the targets of a failure domain as cold since it returned to service.
	void domainReturned(String domain, long coldMillis, long returnedNanos, long now) {
		DomainReturn last = new DomainReturn(coldMillis * NANOS_PER_MILLI, returnedNanos);
		this.returnByDomain.put(domain, last);
		this.state.targets()
			.stream()
			.filter((target) -> target.domain().equals(domain))
			.flatMap((target) -> find(target.name()).stream())
			.forEach((health) -> health.domainReturned(last.coldNanos(), returnedNanos));
		this.output.decision("domain-cold", "domain", domain, "cold-millis", coldMillis, "returned-millis",
				(now - returnedNanos) / NANOS_PER_MILLI);
		this.changed.run();
	}

	/**
	 * The last return of a failure domain to service.
	 *
	 * @param coldNanos the time for which its targets count as cold, in nanoseconds
	 * @param returnedNanos when it returned, as monotonic time in nanoseconds
	 */
	private record DomainReturn(long coldNanos, long returnedNanos) {
	}

}

package org.redwingramp.node.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.redwingramp.core.dispatch.TargetTracker;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.fleet.KeyOwners;
import org.redwingramp.core.traffic.Route;
import org.redwingramp.core.traffic.RouteTable;
import org.redwingramp.core.traffic.ServiceSpec;
import org.redwingramp.core.traffic.TrafficConfig;
import org.redwingramp.core.traffic.WeightedRoundRobin;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.http.BodyMemoryLimit;
import org.redwingramp.node.http.TargetConnections;
import org.redwingramp.node.loop.EventLoop;

/**
 * The state that an entry instance has received from the control leader: configuration,
 * targets and owners of keys. It is identified by the term of the leader and a sequence
 * number within that term. Invariants: the term and the configuration version never
 * decrease, nor does the sequence number within a term; an incremental update is applied
 * only on top of the view that it was built from; an update is applied as a whole except
 * for the elements that can't be used, or not at all. Not thread safe; confined to the
 * event loop thread.
 */
final class EntryView {

	/**
	 * Lower bound for the number of entry instances that share a fleet-wide limit. A new
	 * leader reports too low a number until all instances have contacted it.
	 */
	private static final int MIN_LIMIT_SHARING_INSTANCES = 10;

	/**
	 * Time after its first view for which a leader may not have heard of all entry
	 * instances, since those that have lost their links are counted for as long.
	 */
	private static final long COUNTING_NANOS = 12_000_000_000L;

	/**
	 * Time without a leader after which what it stated of cold targets isn't relied on. A
	 * leader doesn't rely on a target any more that it hasn't heard of for as long.
	 */
	private static final long MAX_SILENCE_NANOS = 6_000_000_000L;

	/** The service time assumed for a target before its first response. */
	private static final double INITIAL_SERVICE_MILLIS = 100;

	private final EventLoop loop;

	private final PlatformDialect dialect;

	private final BodyMemoryLimit responseMemory = BodyMemoryLimit.forTargetResponses();

	private final Map<String, EntryTarget> targets = new HashMap<>();

	private final Map<String, WeightedRoundRobin> roundRobins = new HashMap<>();

	private List<SkippedElement> skipped = List.of();

	private List<EntryTarget> coldTargets = List.of();

	private Map<String, List<EntryTarget>> usableByService = Map.of();

	private final Map<String, KeyOwners> keyOwners = new HashMap<>();

	private Optional<TrafficConfig> config = Optional.empty();

	private Optional<RouteTable> routes = Optional.empty();

	private long configVersion;

	private long newestConfigVersion;

	private int instances;

	// As stated in the previous term.
	private int formerInstances;

	private long termBeganNanos;

	private long term;

	private long sequence;

	EntryView(EventLoop loop, PlatformDialect dialect) {
		this.loop = loop;
		this.dialect = dialect;
	}

	// Rejects an incremental update that was built from another view than the current
	// one, since changes in between would be missing. Whatever can fail is prepared
	// first, so a failure leaves the current view as it is.
	Outcome apply(FleetView update, long now) {
		boolean alreadyApplied = update.term() == this.term && update.sequence() <= this.sequence;
		if (alreadyApplied || update.term() < this.term || update.configVersion() < this.configVersion) {
			return Outcome.OUTDATED;
		}
		if (!update.full() && (update.term() != this.term || update.base() != this.sequence)) {
			return Outcome.INCOMPLETE;
		}
		ViewPreparation next = new ViewPreparation(update);
		next.prepareConfig(this.dialect, this.configVersion);
		next.prepareTargets(this.targets, (target, address) -> create(target, address, now));
		next.prepareOwners(this.keyOwners);
		commit(update, next, now);
		return Outcome.TAKEN;
	}

	private EntryTarget create(ViewTarget target, InetSocketAddress address, long now) {
		EntryTarget created = new EntryTarget(target, new TargetConnections(this.loop, address, this.responseMemory),
				new TargetTracker(target.slots(), INITIAL_SERVICE_MILLIS, now), now);
		Optional.ofNullable(this.targets.get(target.name()))
			.filter((former) -> former.view().address().equals(target.address()))
			.ifPresent((former) -> created.availability().keepRecentPauseOf(former.availability(), now));
		return created;
	}

	private void commit(FleetView update, ViewPreparation next, long now) {
		next.config().ifPresent((prepared) -> {
			this.config = Optional.of(prepared.config());
			this.routes = Optional.of(prepared.routes());
			this.roundRobins.clear();
			this.configVersion = update.configVersion();
		});
		if (update.full()) {
			this.keyOwners.clear();
		}
		this.keyOwners.putAll(next.owners());
		List<EntryTarget> removed = removeTargets(update, next);
		List<EntryTarget> cold = new ArrayList<>();
		next.targets().forEach((name, prepared) -> {
			if (prepared.target().update(prepared.view(), update.term(), now)) {
				cold.add(prepared.target());
			}
			this.targets.put(name, prepared.target());
		});
		this.coldTargets = cold;
		if (update.full() || !update.targets().isEmpty() || !update.removedTargets().isEmpty()) {
			groupUsableTargets();
		}
		this.skipped = List.copyOf(next.skipped());
		countInstances(update, now);
		this.newestConfigVersion = update.configVersion();
		this.term = update.term();
		this.sequence = update.sequence();
		removed.forEach((target) -> target.connections().closeIdle());
	}

	private void countInstances(FleetView update, long now) {
		if (update.term() != this.term) {
			this.formerInstances = this.instances;
			this.termBeganNanos = now;
		}
		boolean counting = now - this.termBeganNanos < COUNTING_NANOS;
		this.instances = counting ? Math.max(update.instances(), this.formerInstances) : update.instances();
	}

	// Called when a leader is heard after a time without one. A target may have become
	// cold in a long time, which a new leader may not know yet.
	void leaderHeard(long silentNanos) {
		if (silentNanos > MAX_SILENCE_NANOS) {
			this.targets.values().forEach((target) -> target.coldPeriod().forget());
		}
	}

	private List<EntryTarget> removeTargets(FleetView update, ViewPreparation next) {
		Set<String> names = new HashSet<>(update.removedTargets());
		names.addAll(next.unusableTargets());
		if (update.full()) {
			names.addAll(this.targets.keySet());
		}
		names.removeAll(next.targets().keySet());
		return names.stream().map(this.targets::remove).filter(Objects::nonNull).toList();
	}

	Optional<TrafficConfig> config() {
		return this.config;
	}

	Optional<ServiceSpec> service(String name) {
		return this.config.flatMap((current) -> current.service(name));
	}

	Optional<Route> route(String host, String path) {
		return this.routes.flatMap((table) -> table.find(host, path));
	}

	// Returns the service for the next request, by weighted round robin if the route
	// splits its requests among several services.
	String selectService(Route route) {
		if (route.services().size() == 1) {
			return route.services().get(0).service();
		}
		return this.roundRobins.computeIfAbsent(route.location(), (location) -> new WeightedRoundRobin(route)).next();
	}

	// Returns the usable targets of a service.
	List<EntryTarget> targets(String service) {
		return this.usableByService.getOrDefault(service, List.of());
	}

	// Returns the elements of the last update that were left out.
	List<SkippedElement> skipped() {
		return this.skipped;
	}

	// Returns the targets of the last update that were cold before it or are cold now.
	List<EntryTarget> coldTargets() {
		return this.coldTargets;
	}

	long coldTargetCount(long now) {
		return this.targets.values().stream().filter((target) -> target.cold(now)).count();
	}

	Iterable<EntryTarget> allTargets() {
		return this.targets.values();
	}

	int targetCount() {
		return this.targets.size();
	}

	long connectionsOpened() {
		return this.targets.values().stream().mapToLong((target) -> target.connections().opened()).sum();
	}

	// Returns the name of the owner, or an empty string while the key is being moved.
	String owner(String service, int key) {
		return this.keyOwners.getOrDefault(service, KeyOwners.NONE).owner(key);
	}

	long unfinishedAnswerBytes() {
		return this.responseMemory.reservedBytes();
	}

	Optional<EntryTarget> target(String name) {
		return Optional.ofNullable(this.targets.get(name));
	}

	long configVersion() {
		return this.configVersion;
	}

	// Returns whether a newer configuration is in force than the one that was applied.
	boolean configOutdated() {
		return this.newestConfigVersion > this.configVersion;
	}

	long newestConfigVersion() {
		return this.newestConfigVersion;
	}

	// Returns the number of entry instances among which fleet-wide limits are
	// divided.
	int limitSharingInstances() {
		return Math.max(MIN_LIMIT_SHARING_INSTANCES, this.instances);
	}

	long term() {
		return this.term;
	}

	long sequence() {
		return this.sequence;
	}

	private void groupUsableTargets() {
		this.usableByService = this.targets.values()
			.stream()
			.filter((target) -> target.view().usable())
			.collect(Collectors.groupingBy((target) -> target.view().service()));
	}

	/** The result of applying an update. The constant names are written to the log. */
	enum Outcome {

		/** The update was applied. */
		TAKEN,

		/** The update is not newer than the current view and was ignored. */
		OUTDATED,

		/** The update builds on another view than the current one and was not applied. */
		INCOMPLETE

	}

}

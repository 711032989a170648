package org.redwingramp.node.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.redwingramp.node.api.InvalidDocumentException;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.http.AnswerMemory;
import org.redwingramp.node.http.TargetConnections;
import org.redwingramp.node.loop.EventLoop;

/**
 * What an entry instance knows: configuration, targets and owners of keys. Invariants:
 * the version of the configuration never goes back, nor does the view of one leader;
 * changes are taken over only on top of the view that they build on. Not thread safe; it
 * belongs to the loop's thread.
 */
final class EntryView {

	/**
	 * Limits are shared among at least this many entry instances: a new leader has to
	 * hear them all before it can tell their number.
	 */
	private static final int MIN_SHARERS = 10;

	/** The service time assumed for a target before its first answer, in milliseconds. */
	private static final double FIRST_SERVICE_MILLIS = 100;

	private final EventLoop loop;

	private final PlatformDialect dialect;

	private final AnswerMemory answers = AnswerMemory.forAnswers();

	private final Map<String, EntryTarget> targets = new HashMap<>();

	private final Map<String, WeightedRoundRobin> roundRobins = new HashMap<>();

	private Map<String, List<EntryTarget>> byService = Map.of();

	private final Map<String, KeyOwners> keys = new HashMap<>();

	private Optional<TrafficConfig> config = Optional.empty();

	private Optional<RouteTable> routes = Optional.empty();

	private long configVersion;

	private int instances;

	private long term;

	private long sequence;

	EntryView(EventLoop loop, PlatformDialect dialect) {
		this.loop = loop;
		this.dialect = dialect;
	}

	// A view that builds on another one than the present one is missing changes.
	Outcome apply(FleetView update, long now) throws InvalidDocumentException {
		boolean known = update.term() == this.term && update.sequence() <= this.sequence;
		if (known || update.term() < this.term || update.configVersion() < this.configVersion) {
			return Outcome.OUTDATED;
		}
		if (!update.full() && (update.term() != this.term || update.base() != this.sequence)) {
			return Outcome.INCOMPLETE;
		}
		if (update.document().isPresent() && update.configVersion() > this.configVersion) {
			TrafficConfig next = this.dialect.config(update.document().get());
			this.config = Optional.of(next);
			this.routes = Optional.of(new RouteTable(next));
			this.roundRobins.clear();
			this.configVersion = update.configVersion();
		}
		if (update.full()) {
			Set<String> named = update.targets().stream().map(ViewTarget::name).collect(Collectors.toSet());
			remove(this.targets.keySet().stream().filter((name) -> !named.contains(name)).toList());
			this.keys.clear();
		}
		remove(update.removedTargets());
		update.targets().forEach((target) -> put(target, now));
		if (update.full() || !update.targets().isEmpty() || !update.removedTargets().isEmpty()) {
			groupTargets();
		}
		update.keys()
			.forEach((service, changes) -> this.keys.merge(service, KeyOwners.of(changes),
					(former, full) -> former.with(changes)));
		this.instances = update.instances();
		this.term = update.term();
		this.sequence = update.sequence();
		return Outcome.TAKEN;
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

	String serviceOf(Route route) {
		if (route.services().size() == 1) {
			return route.services().get(0).service();
		}
		return this.roundRobins.computeIfAbsent(route.name(), (name) -> new WeightedRoundRobin(route)).next();
	}

	List<EntryTarget> targets(String service) {
		return this.byService.getOrDefault(service, List.of());
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

	// Returns the owner's name, empty while the key changes hands.
	String owner(String service, int key) {
		return this.keys.getOrDefault(service, KeyOwners.NONE).owner(key);
	}

	long unfinishedAnswerBytes() {
		return this.answers.heldBytes();
	}

	Optional<EntryTarget> target(String name) {
		return Optional.ofNullable(this.targets.get(name));
	}

	long configVersion() {
		return this.configVersion;
	}

	// Returns the number of entry instances that limits are shared among.
	int sharers() {
		return Math.max(MIN_SHARERS, this.instances);
	}

	long term() {
		return this.term;
	}

	long sequence() {
		return this.sequence;
	}

	private void groupTargets() {
		this.byService = this.targets.values()
			.stream()
			.filter((target) -> target.view().usable())
			.collect(Collectors.groupingBy((target) -> target.view().service()));
	}

	private void remove(List<String> names) {
		names.forEach((name) -> {
			EntryTarget gone = this.targets.remove(name);
			if (gone != null) {
				gone.connections().closeIdle();
			}
		});
	}

	private void put(ViewTarget view, long now) {
		EntryTarget known = this.targets.get(view.name());
		if (known != null && known.view().address().equals(view.address())) {
			known.update(view, now);
		}
		else {
			this.targets.put(view.name(),
					new EntryTarget(view, TargetConnections.to(this.loop, view.address(), this.answers),
							new TargetTracker(view.slots(), FIRST_SERVICE_MILLIS, now), now));
		}
	}

	/** What became of an update. */
	enum Outcome {

		/** It is in force. */
		TAKEN,

		/** It is older than what is in force. */
		OUTDATED,

		/** An update before it is missing. */
		INCOMPLETE

	}

}

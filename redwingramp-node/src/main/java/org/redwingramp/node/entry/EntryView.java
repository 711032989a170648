package org.redwingramp.node.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.redwingramp.core.dispatch.TargetTracker;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.traffic.Route;
import org.redwingramp.core.traffic.RouteTable;
import org.redwingramp.core.traffic.ServiceSpec;
import org.redwingramp.core.traffic.SplitCounter;
import org.redwingramp.core.traffic.TrafficConfig;
import org.redwingramp.node.api.InvalidDocumentException;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.http.TargetConnections;
import org.redwingramp.node.loop.EventLoop;

/**
 * What an entry instance knows: configuration, targets and owners of keys. Invariant: the
 * version of the configuration never goes back. Not thread safe; it belongs to the loop's
 * thread.
 */
final class EntryView {

	/** The service time assumed for a target before its first answer, in milliseconds. */
	private static final double FIRST_SERVICE_MILLIS = 100;

	private final EventLoop loop;

	private final PlatformDialect dialect;

	private final Map<String, EntryTarget> targets = new HashMap<>();

	private final Map<String, SplitCounter> splits = new HashMap<>();

	private Map<String, List<EntryTarget>> byService = Map.of();

	private Map<String, TreeMap<Integer, ViewRange>> keys = Map.of();

	private Optional<TrafficConfig> config = Optional.empty();

	private Optional<RouteTable> routes = Optional.empty();

	private long configVersion;

	private long term;

	private long sequence;

	EntryView(EventLoop loop, PlatformDialect dialect) {
		this.loop = loop;
		this.dialect = dialect;
	}

	// Returns whether the update was taken over.
	boolean apply(FleetView update, long now) throws InvalidDocumentException {
		if (update.term() < this.term || update.configVersion() < this.configVersion) {
			return false;
		}
		if (update.document().isPresent() && update.configVersion() > this.configVersion) {
			TrafficConfig next = this.dialect.config(update.document().get());
			this.config = Optional.of(next);
			this.routes = Optional.of(new RouteTable(next));
			this.splits.clear();
			this.configVersion = update.configVersion();
		}
		update.targets().ifPresent((list) -> replaceTargets(list, now));
		update.keys().ifPresent(this::replaceKeys);
		this.term = update.term();
		this.sequence = update.sequence();
		return true;
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
		return this.splits.computeIfAbsent(route.name(), (name) -> new SplitCounter(route)).next();
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
		TreeMap<Integer, ViewRange> ranges = this.keys.get(service);
		Map.Entry<Integer, ViewRange> found = (ranges != null) ? ranges.floorEntry(key) : null;
		return (found != null && found.getValue().last() >= key) ? found.getValue().owner() : "";
	}

	Optional<EntryTarget> target(String name) {
		return Optional.ofNullable(this.targets.get(name));
	}

	long configVersion() {
		return this.configVersion;
	}

	long term() {
		return this.term;
	}

	long sequence() {
		return this.sequence;
	}

	private void replaceTargets(List<ViewTarget> list, long now) {
		Set<String> names = list.stream().map(ViewTarget::name).collect(Collectors.toSet());
		this.targets.values()
			.stream()
			.filter((target) -> !names.contains(target.name()))
			.forEach((target) -> target.connections().closeIdle());
		this.targets.keySet().retainAll(names);
		list.forEach((view) -> {
			EntryTarget known = this.targets.get(view.name());
			if (known != null && known.view().address().equals(view.address())) {
				known.update(view, now);
			}
			else {
				this.targets.put(view.name(), new EntryTarget(view, TargetConnections.to(this.loop, view.address()),
						new TargetTracker(view.slots(), FIRST_SERVICE_MILLIS, now), now));
			}
		});
		this.byService = this.targets.values()
			.stream()
			.filter((target) -> target.view().usable())
			.collect(Collectors.groupingBy((target) -> target.view().service()));
	}

	private void replaceKeys(Map<String, List<ViewRange>> ranges) {
		Map<String, TreeMap<Integer, ViewRange>> next = new HashMap<>();
		ranges.forEach((service, list) -> {
			TreeMap<Integer, ViewRange> byFirst = new TreeMap<>();
			list.forEach((range) -> byFirst.put(range.first(), range));
			next.put(service, byFirst);
		});
		this.keys = next;
	}

}

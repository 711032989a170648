package org.redwingramp.core.control.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate.Removed;

/**
 * The targets, indexed by name, service and gate. Immutable and thread safe; the indexes
 * by service and gate are computed on first use.
 */
final class TargetIndex {

	static final TargetIndex EMPTY = new TargetIndex(new TreeMap<>());

	private final SortedMap<String, TargetState> byName;

	private volatile Map<String, List<TargetState>> byService;

	private volatile Map<String, List<TargetState>> byGate;

	private TargetIndex(SortedMap<String, TargetState> byName) {
		this.byName = byName;
	}

	TargetIndex with(Collection<TargetState> changed, Collection<Removed> removed) {
		if (changed.isEmpty() && removed.stream().noneMatch(Removed.RemovedTarget.class::isInstance)) {
			return this;
		}
		SortedMap<String, TargetState> copy = new TreeMap<>(this.byName);
		removed.forEach((item) -> {
			if (item instanceof Removed.RemovedTarget target) {
				copy.remove(target.name());
			}
		});
		changed.forEach((target) -> copy.put(target.spec().name(), target));
		return new TargetIndex(copy);
	}

	TargetState find(String name) {
		return this.byName.get(name);
	}

	Collection<TargetState> all() {
		return Collections.unmodifiableCollection(this.byName.values());
	}

	Collection<TargetState> ofService(String service) {
		Map<String, List<TargetState>> index = this.byService;
		if (index == null) {
			index = groupBy((target) -> target.spec().service());
			this.byService = index;
		}
		return index.getOrDefault(service, List.of());
	}

	Collection<TargetState> ofGate(String gate) {
		Map<String, List<TargetState>> index = this.byGate;
		if (index == null) {
			index = groupBy(TargetState::gate);
			this.byGate = index;
		}
		return index.getOrDefault(gate, List.of());
	}

	private Map<String, List<TargetState>> groupBy(Function<TargetState, String> key) {
		return this.byName.values()
			.stream()
			.collect(Collectors.groupingBy(key, Collectors.collectingAndThen(Collectors.toList(), List::copyOf)));
	}

}

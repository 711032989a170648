package org.redwingramp.core.routing.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.redwingramp.core.routing.TargetGate.GateRequest;

/**
 * The waiting requests of one gate in order of priority, then of arrival. Not thread
 * safe.
 *
 * <p>
 * Invariant: never holds more than its bound.
 */
final class AdmissionQueue {

	private final TreeMap<Integer, Map<Long, GateRequest>> byPriority = new TreeMap<>(Comparator.naturalOrder());

	private final int bound;

	private int size;

	AdmissionQueue(int bound) {
		this.bound = bound;
	}

	int size() {
		return this.size;
	}

	boolean full() {
		return this.size >= this.bound;
	}

	boolean contains(long id) {
		return this.byPriority.values().stream().anyMatch((level) -> level.containsKey(id));
	}

	/**
	 * Counts the requests that go before one that arrives now.
	 * @param priority the new request's priority
	 * @return the number of requests of the same or a higher priority
	 */
	int ahead(int priority) {
		return this.byPriority.headMap(priority, true).values().stream().mapToInt(Map::size).sum();
	}

	void add(GateRequest request) {
		this.byPriority.computeIfAbsent(request.requestClass().priority(), (priority) -> new LinkedHashMap<>())
			.put(request.id(), request);
		this.size++;
	}

	Optional<GateRequest> poll() {
		Optional<GateRequest> first = this.byPriority.values()
			.stream()
			.flatMap((level) -> level.values().stream().limit(1))
			.findFirst();
		first.ifPresent((request) -> remove(request.id()));
		return first;
	}

	boolean remove(long id) {
		boolean removed = this.byPriority.values().stream().anyMatch((level) -> level.remove(id) != null);
		this.size -= (removed) ? 1 : 0;
		return removed;
	}

	/**
	 * Removes the youngest request of the lowest priority below the given one.
	 * @param priority the priority of the request that needs the place
	 * @return the removed request, or empty if none gives way
	 */
	Optional<GateRequest> displace(int priority) {
		Optional<GateRequest> youngest = this.byPriority.tailMap(priority, false)
			.descendingMap()
			.values()
			.stream()
			.filter((level) -> !level.isEmpty())
			.findFirst()
			.flatMap((level) -> level.values().stream().reduce((first, second) -> second));
		youngest.ifPresent((request) -> remove(request.id()));
		return youngest;
	}

	List<GateRequest> removeIf(Predicate<GateRequest> condition) {
		List<GateRequest> removed = new ArrayList<>();
		for (Map<Long, GateRequest> level : this.byPriority.values()) {
			for (Iterator<GateRequest> requests = level.values().iterator(); requests.hasNext();) {
				GateRequest request = requests.next();
				if (condition.test(request)) {
					requests.remove();
					removed.add(request);
				}
			}
		}
		this.size -= removed.size();
		return removed;
	}

}

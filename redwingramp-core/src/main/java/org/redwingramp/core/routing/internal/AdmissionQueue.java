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
 * The waiting requests of one gate, ordered by priority and then by arrival. Not thread
 * safe.
 *
 * <p>
 * Invariant: the queue never holds more requests than its capacity; callers check
 * {@link #full()} before they add a request.
 */
final class AdmissionQueue {

	private final TreeMap<Integer, Map<Long, GateRequest>> byPriority = new TreeMap<>(Comparator.naturalOrder());

	private final int capacity;

	private int size;

	AdmissionQueue(int capacity) {
		this.capacity = capacity;
	}

	int size() {
		return this.size;
	}

	boolean full() {
		return this.size >= this.capacity;
	}

	boolean contains(long id) {
		return this.byPriority.values().stream().anyMatch((level) -> level.containsKey(id));
	}

	/**
	 * Counts the requests that would start before a request that arrives now.
	 * @param priority the new request's priority
	 * @return the number of requests of the same or a higher priority
	 */
	int countAhead(int priority) {
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
	 * Removes the most recent request of the lowest priority, if that priority is lower
	 * than the given one.
	 * @param priority the priority of the request that needs a place in the queue
	 * @return the removed request, or empty if no request has a lower priority
	 */
	Optional<GateRequest> removeLowerPriority(int priority) {
		Optional<GateRequest> latest = this.byPriority.tailMap(priority, false)
			.descendingMap()
			.values()
			.stream()
			.filter((level) -> !level.isEmpty())
			.findFirst()
			.flatMap((level) -> level.values().stream().reduce((first, second) -> second));
		latest.ifPresent((request) -> remove(request.id()));
		return latest;
	}

	List<GateRequest> removeIf(Predicate<GateRequest> filter) {
		List<GateRequest> removed = new ArrayList<>();
		for (Map<Long, GateRequest> level : this.byPriority.values()) {
			for (Iterator<GateRequest> requests = level.values().iterator(); requests.hasNext();) {
				GateRequest request = requests.next();
				if (filter.test(request)) {
					requests.remove();
					removed.add(request);
				}
			}
		}
		this.size -= removed.size();
		return removed;
	}

}

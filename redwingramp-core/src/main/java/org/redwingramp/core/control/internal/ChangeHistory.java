package org.redwingramp.core.control.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.control.ViewUpdate;

/**
 * The most recent updates of the view, from which updates over several versions are
 * merged. Not thread safe.
 *
 * <p>
 * Invariant: the updates are consecutive and hold at most {@link #MAX_ITEMS} resources,
 * but for the last one.
 */
final class ChangeHistory {

	/**
	 * Bounds the memory at about 2 MB. A receiver that is further behind gets a whole
	 * view, which is cheaper than merging more than this.
	 */
	static final int MAX_ITEMS = 16_384;

	private final Deque<ViewUpdate> updates = new ArrayDeque<>();

	private int items;

	void add(ViewUpdate update) {
		this.updates.addLast(update);
		this.items += size(update);
		while (this.items > MAX_ITEMS && this.updates.size() > 1) {
			this.items -= size(this.updates.removeFirst());
		}
	}

	void clear() {
		this.updates.clear();
		this.items = 0;
	}

	Optional<ViewUpdate> since(long version) {
		if (this.updates.isEmpty() || version < this.updates.getFirst().fromVersion()
				|| version >= this.updates.getLast().toVersion() || version == 0) {
			return Optional.empty();
		}
		Deque<ViewUpdate> wanted = new ArrayDeque<>();
		for (var iterator = this.updates.descendingIterator(); iterator.hasNext();) {
			ViewUpdate update = iterator.next();
			if (update.toVersion() <= version) {
				break;
			}
			wanted.addFirst(update);
		}
		Map<Object, Object> changes = new LinkedHashMap<>();
		wanted.forEach((update) -> ViewChanges.collect(update, changes));
		ViewUpdate last = wanted.getLast();
		return Optional.of(ViewChanges.merged(last.clusterId(), version, last.toVersion(), changes));
	}

	private static int size(ViewUpdate update) {
		return update.records().size() + update.entries().size() + update.targets().size() + update.shards().size()
				+ update.removed().size() + 1;
	}

}

package org.redwingramp.core.control.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.control.ViewUpdate;

/**
 * Keeps the most recent updates of the view, so that consecutive updates can be merged
 * into one for a receiver that is several versions behind. Not thread safe.
 *
 * <p>
 * Invariant: the updates are consecutive and hold at most {@link #MAX_ITEMS} resources,
 * unless a single update alone holds more.
 */
final class ChangeHistory {

	/**
	 * Limits the memory to about 2 MB. A receiver that is further behind gets a complete
	 * view, which is cheaper than merging more than this.
	 */
	static final int MAX_ITEMS = 16_384;

	private final Deque<ViewUpdate> updates = new ArrayDeque<>();

	private int itemCount;

	void add(ViewUpdate update) {
		this.updates.addLast(update);
		this.itemCount += size(update);
		while (this.itemCount > MAX_ITEMS && this.updates.size() > 1) {
			this.itemCount -= size(this.updates.removeFirst());
		}
	}

	void clear() {
		this.updates.clear();
		this.itemCount = 0;
	}

	Optional<ViewUpdate> since(long version) {
		if (this.updates.isEmpty() || version < this.updates.getFirst().fromVersion()
				|| version >= this.updates.getLast().toVersion() || version == 0) {
			return Optional.empty();
		}
		Deque<ViewUpdate> newer = new ArrayDeque<>();
		for (var iterator = this.updates.descendingIterator(); iterator.hasNext();) {
			ViewUpdate update = iterator.next();
			if (update.toVersion() <= version) {
				break;
			}
			newer.addFirst(update);
		}
		Map<Object, Object> changes = new LinkedHashMap<>();
		newer.forEach((update) -> ViewChanges.collect(update, changes));
		ViewUpdate latest = newer.getLast();
		return Optional.of(ViewChanges.toUpdate(latest.clusterId(), version, latest.toVersion(), changes));
	}

	private static int size(ViewUpdate update) {
		return update.records().size() + update.entries().size() + update.targets().size() + update.shards().size()
				+ update.removed().size() + 1;
	}

}

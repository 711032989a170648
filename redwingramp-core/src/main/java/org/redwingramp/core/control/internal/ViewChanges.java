package org.redwingramp.core.control.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.control.EntryState;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate;
import org.redwingramp.core.control.ViewUpdate.Removed;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.ShardId;

/**
 * Collects the changes that one command makes to the view. A later change of a resource
 * replaces an earlier one, and reads see the changes made so far. Not thread safe.
 */
final class ViewChanges {

	private final ImmutableView base;

	private final Map<Object, Object> changes = new LinkedHashMap<>();

	ViewChanges(ImmutableView base) {
		this.base = base;
	}

	// Returns the view before the command.
	ImmutableView base() {
		return this.base;
	}

	// Returns the version that the view has if the command changes it.
	long nextVersion() {
		return this.base.version() + 1;
	}

	boolean isEmpty() {
		return this.changes.isEmpty();
	}

	void put(RecordState state) {
		Removed id = new Removed.RemovedRecord(state.record().kind(), state.record().name());
		this.changes.put(id, state);
	}

	void put(EntrySpec spec, boolean leaving) {
		this.changes.put(new Removed.RemovedEntry(spec.name()), new EntryState(spec, leaving, nextVersion()));
	}

	void put(TargetState state) {
		this.changes.put(new Removed.RemovedTarget(state.spec().name()),
				new TargetState(state.spec(), state.phase(), state.gate(), state.gateEpoch(), nextVersion()));
	}

	void put(ShardState state) {
		this.changes.put(new Removed.RemovedShard(state.id()),
				new ShardState(state.id(), state.phase(), state.owner(), state.fence(), nextVersion()));
	}

	void remove(Removed id) {
		this.changes.put(id, id);
	}

	Optional<TargetState> target(String name) {
		Object changed = this.changes.get(new Removed.RemovedTarget(name));
		if (changed instanceof TargetState state) {
			return Optional.of(state);
		}
		return (changed != null) ? Optional.empty() : this.base.target(name);
	}

	Optional<ShardState> shard(ShardId id) {
		Object changed = this.changes.get(new Removed.RemovedShard(id));
		if (changed instanceof ShardState state) {
			return Optional.of(state);
		}
		return (changed != null) ? Optional.empty() : Optional.ofNullable(this.base.shardState(id));
	}

	ViewUpdate update() {
		return toUpdate(this.base.clusterId(), this.base.version(), nextVersion(), this.changes);
	}

	// Adds the changes of an update to a map keyed by the removal of each resource,
	// replacing earlier ones.
	static void collect(ViewUpdate update, Map<Object, Object> into) {
		update.records()
			.forEach((state) -> into.put(new Removed.RemovedRecord(state.record().kind(), state.record().name()),
					state));
		update.entries().forEach((state) -> into.put(new Removed.RemovedEntry(state.spec().name()), state));
		update.targets().forEach((state) -> into.put(new Removed.RemovedTarget(state.spec().name()), state));
		update.shards().forEach((state) -> into.put(new Removed.RemovedShard(state.id()), state));
		update.removed().forEach((removed) -> into.put(removed, removed));
	}

	static ViewUpdate toUpdate(String clusterId, long from, long to, Map<Object, Object> changes) {
		List<RecordState> records = new ArrayList<>();
		List<EntryState> entries = new ArrayList<>();
		List<TargetState> targets = new ArrayList<>();
		List<ShardState> shards = new ArrayList<>();
		List<Removed> removed = new ArrayList<>();
		for (Object change : changes.values()) {
			if (change instanceof RecordState state) {
				records.add(state);
			}
			else if (change instanceof EntryState state) {
				entries.add(state);
			}
			else if (change instanceof TargetState state) {
				targets.add(state);
			}
			else if (change instanceof ShardState state) {
				shards.add(state);
			}
			else if (change instanceof Removed state) {
				removed.add(state);
			}
		}
		return new ViewUpdate(clusterId, from, to, records, entries, targets, shards, removed);
	}

}

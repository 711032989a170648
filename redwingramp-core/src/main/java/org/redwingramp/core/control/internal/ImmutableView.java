package org.redwingramp.core.control.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.EntryState;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate;
import org.redwingramp.core.control.ViewUpdate.Removed;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;

/**
 * A view that shares the parts unchanged by an update with its predecessor. Immutable and
 * thread safe.
 */
public final class ImmutableView implements ControlView {

	/** The view before the first update. */
	public static final ImmutableView INITIAL = new ImmutableView("", 0, new TreeMap<>(), new TreeMap<>(),
			TargetIndex.EMPTY, Map.of());

	private final String clusterId;

	private final long version;

	private final SortedMap<RecordKey, RecordState> records;

	private final SortedMap<String, EntryState> entries;

	private final TargetIndex targets;

	private final Map<String, ServiceShards> shards;

	private ImmutableView(String clusterId, long version, SortedMap<RecordKey, RecordState> records,
			SortedMap<String, EntryState> entries, TargetIndex targets, Map<String, ServiceShards> shards) {
		this.clusterId = clusterId;
		this.version = version;
		this.records = records;
		this.entries = entries;
		this.targets = targets;
		this.shards = shards;
	}

	static ImmutableView empty(String clusterId, long version) {
		return new ImmutableView(clusterId, version, INITIAL.records, INITIAL.entries, TargetIndex.EMPTY, Map.of());
	}

	/**
	 * Returns the view after an update.
	 * @param update a complete view, which replaces all resources, or the difference to
	 * this view
	 * @return the view
	 */
	public ImmutableView with(ViewUpdate update) {
		ImmutableView base = update.complete() ? INITIAL : this;
		return new ImmutableView(update.clusterId(), update.toVersion(), base.recordsWith(update),
				base.entriesWith(update), base.targets.with(update.targets(), update.removed()),
				base.shardsWith(update));
	}

	private SortedMap<RecordKey, RecordState> recordsWith(ViewUpdate update) {
		boolean removal = update.removed().stream().anyMatch(Removed.RemovedRecord.class::isInstance);
		if (update.records().isEmpty() && !removal) {
			return this.records;
		}
		SortedMap<RecordKey, RecordState> copy = new TreeMap<>(this.records);
		update.removed().forEach((removed) -> {
			if (removed instanceof Removed.RemovedRecord record) {
				copy.remove(new RecordKey(record.kind(), record.name()));
			}
		});
		update.records().forEach((state) -> copy.put(RecordKey.of(state.record()), state));
		return copy;
	}

	private SortedMap<String, EntryState> entriesWith(ViewUpdate update) {
		boolean removal = update.removed().stream().anyMatch(Removed.RemovedEntry.class::isInstance);
		if (update.entries().isEmpty() && !removal) {
			return this.entries;
		}
		SortedMap<String, EntryState> copy = new TreeMap<>(this.entries);
		update.removed().forEach((removed) -> {
			if (removed instanceof Removed.RemovedEntry entry) {
				copy.remove(entry.name());
			}
		});
		update.entries().forEach((state) -> copy.put(state.spec().name(), state));
		return copy;
	}

	private Map<String, ServiceShards> shardsWith(ViewUpdate update) {
		Map<String, List<ShardState>> changed = update.shards()
			.stream()
			.collect(Collectors.groupingBy((shard) -> shard.id().service()));
		Map<String, List<ShardId>> removed = update.removed()
			.stream()
			.filter(Removed.RemovedShard.class::isInstance)
			.map((item) -> ((Removed.RemovedShard) item).id())
			.collect(Collectors.groupingBy(ShardId::service));
		if (changed.isEmpty() && removed.isEmpty()) {
			return this.shards;
		}
		Map<String, ServiceShards> copy = new HashMap<>(this.shards);
		Collection<String> affected = new TreeSet<>(changed.keySet());
		affected.addAll(removed.keySet());
		for (String service : affected) {
			ServiceShards next = copy.getOrDefault(service, ServiceShards.EMPTY)
				.with(changed.getOrDefault(service, List.of()), removed.getOrDefault(service, List.of()));
			copy.put(service, next);
			if (next.empty()) {
				copy.remove(service);
			}
		}
		return copy;
	}

	// Returns this view as an update that replaces any other view.
	ViewUpdate completeUpdate() {
		List<ShardState> all = new TreeMap<>(this.shards).values()
			.stream()
			.flatMap((service) -> service.all().stream())
			.toList();
		return new ViewUpdate(this.clusterId, 0, this.version, List.copyOf(this.records.values()),
				List.copyOf(this.entries.values()), List.copyOf(this.targets.all()), all, List.of());
	}

	@Override
	public String clusterId() {
		return this.clusterId;
	}

	@Override
	public long version() {
		return this.version;
	}

	@Override
	public Optional<RecordBody.Service> service(String name) {
		return record(RecordKind.SERVICE, name).map((state) -> (RecordBody.Service) state.record().body());
	}

	@Override
	public boolean domainAcceptsWork(String name) {
		return record(RecordKind.DOMAIN, name).map((state) -> (RecordBody.Domain) state.record().body())
			.map((domain) -> domain.state().acceptsWork())
			.orElse(true);
	}

	@Override
	public Optional<RecordState> record(RecordKind kind, String name) {
		return Optional.ofNullable(this.records.get(new RecordKey(kind, name)));
	}

	@Override
	public Collection<RecordState> records() {
		return Collections.unmodifiableCollection(this.records.values());
	}

	@Override
	public Collection<EntryState> entries() {
		return Collections.unmodifiableCollection(this.entries.values());
	}

	@Override
	public Optional<EntryState> entry(String name) {
		return Optional.ofNullable(this.entries.get(name));
	}

	@Override
	public Collection<TargetState> targets(String service) {
		return this.targets.ofService(service);
	}

	@Override
	public Collection<TargetState> targetsOfGate(String entry) {
		return this.targets.ofGate(entry);
	}

	@Override
	public Optional<TargetState> target(String name) {
		return Optional.ofNullable(this.targets.find(name));
	}

	@Override
	public Optional<ShardState> shard(RecordBody.Service service, String key) {
		ServiceShards found = this.shards.get(service.name());
		return (found != null) ? Optional.ofNullable(found.ofKey(key)) : Optional.empty();
	}

	@Override
	public Optional<ShardState> shard(ShardId id) {
		return Optional.ofNullable(shardState(id));
	}

	@Override
	public Collection<ShardState> shardsOf(String target) {
		TargetState state = this.targets.find(target);
		return (state != null) ? serviceShards(state.spec().service()).ownedBy(target) : List.of();
	}

	@Override
	public Collection<ShardState> shards(String service) {
		return serviceShards(service).all();
	}

	ShardState shardState(ShardId id) {
		return serviceShards(id.service()).find(id);
	}

	ServiceShards serviceShards(String service) {
		return this.shards.getOrDefault(service, ServiceShards.EMPTY);
	}

	Collection<TargetState> allTargets() {
		return this.targets.all();
	}

}

package org.redwingramp.core.control.internal;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.CommandResult.Refused;
import org.redwingramp.core.control.ControlSnapshot.Tombstone;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.ViewUpdate.Removed;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;

/**
 * Applies the submission and the withdrawal of operator records: checks their versions
 * and contents, and creates or removes the resources that depend on them. Not thread
 * safe.
 *
 * <p>
 * Invariant: a name has either a current record or a tombstone, never both.
 */
final class RecordRules {

	/** Limits the memory for withdrawn names to about 30 MB. */
	static final int MAX_TOMBSTONES = 200_000;

	private final Map<RecordKey, Tombstone> tombstones = new TreeMap<>();

	private final ShardRules shards;

	private long revision;

	RecordRules(ShardRules shards) {
		this.shards = shards;
	}

	CommandResult submit(OperatorRecord record, ViewChanges changes) {
		RecordKey key = RecordKey.of(record);
		Optional<RecordState> current = changes.base().record(key.kind(), key.name());
		if (current.isPresent() && current.get().record().version() == record.version()) {
			return resubmitted(key, record, current.get());
		}
		Optional<Refused> refusal = versionRefusal(key, record.version(), current)
			.or(() -> contentRefusal(record, current, changes.base()));
		if (refusal.isPresent()) {
			return refusal.get();
		}
		this.tombstones.remove(key);
		this.revision++;
		changes.put(new RecordState(record, this.revision, changes.nextVersion()));
		if (current.isEmpty() && record.body() instanceof RecordBody.Service service) {
			this.shards.create(service, changes);
		}
		return new CommandResult.RecordAccepted(this.revision, changes.nextVersion(), false);
	}

	private CommandResult resubmitted(RecordKey key, OperatorRecord record, RecordState current) {
		if (!current.record().digest().equals(record.digest())) {
			return Refusals.versionConflict(key, record.version(), current.record().digest());
		}
		return new CommandResult.RecordAccepted(current.revision(), current.viewVersion(), true);
	}

	private Optional<Refused> versionRefusal(RecordKey key, long version, Optional<RecordState> current) {
		if (current.isPresent()) {
			long currentVersion = current.get().record().version();
			if (version < currentVersion) {
				return Optional.of(Refusals.versionOutdated(key, version, currentVersion));
			}
			return (version > currentVersion + 1) ? Optional.of(Refusals.versionGap(key, version, currentVersion + 1))
					: Optional.empty();
		}
		Tombstone tombstone = this.tombstones.get(key);
		if (tombstone != null && version <= tombstone.version()) {
			return Optional.of(Refusals.withdrawn(key, version, tombstone.version()));
		}
		return (version < 1) ? Optional.of(Refusals.versionOutdated(key, version, 1)) : Optional.empty();
	}

	private Optional<Refused> contentRefusal(OperatorRecord record, Optional<RecordState> current, ImmutableView view) {
		if (record.body() instanceof RecordBody.Service service) {
			return serviceRefusal(service, current);
		}
		return (record.body() instanceof RecordBody.Pin pin) ? pinRefusal(pin, view) : Optional.empty();
	}

	private Optional<Refused> serviceRefusal(RecordBody.Service service, Optional<RecordState> current) {
		boolean keyed = service.keySource().keyed();
		if (keyed && (service.slices() < 1 || service.slices() > ShardRules.MAX_SLICES)) {
			return Optional.of(Refusals.inconsistent("service " + service.name() + " has " + service.slices()
					+ " slices; expected 1 to " + ShardRules.MAX_SLICES));
		}
		if (current.isPresent()) {
			RecordBody.Service previous = (RecordBody.Service) current.get().record().body();
			if (previous.keySource().keyed() != keyed || (keyed && previous.slices() != service.slices())) {
				return Optional.of(Refusals.inconsistent("service " + service.name()
						+ " can't change its number of slices or whether it is keyed; withdraw it first"));
			}
		}
		return Optional.empty();
	}

	private Optional<Refused> pinRefusal(RecordBody.Pin pin, ImmutableView view) {
		boolean keyed = view.service(pin.service()).filter((service) -> service.keySource().keyed()).isPresent();
		if (!keyed) {
			return Optional.of(Refusals
				.inconsistent("pin " + pin.name() + " refers to " + pin.service() + ", which is not a keyed service"));
		}
		return pins(view).stream()
			.filter((other) -> !other.name().equals(pin.name()) && other.service().equals(pin.service()))
			.flatMap((other) -> other.keys().stream().filter(pin.keys()::contains))
			.findFirst()
			.map((key) -> Refusals
				.inconsistent("pin " + pin.name() + " contains key " + key + ", which is already in another pin"));
	}

	private static Collection<RecordBody.Pin> pins(ImmutableView view) {
		return view.records()
			.stream()
			.map((state) -> state.record().body())
			.filter(RecordBody.Pin.class::isInstance)
			.map(RecordBody.Pin.class::cast)
			.toList();
	}

	CommandResult withdraw(Command.WithdrawRecord command, ViewChanges changes) {
		RecordKey key = new RecordKey(command.kind(), command.name());
		Optional<RecordState> current = changes.base().record(key.kind(), key.name());
		if (current.isEmpty()) {
			return withdrawAbsent(key, command.version());
		}
		long currentVersion = current.get().record().version();
		if (command.version() < currentVersion) {
			return Refusals.versionOutdated(key, command.version(), currentVersion);
		}
		if (command.version() > currentVersion) {
			return Refusals.versionGap(key, command.version(), currentVersion);
		}
		if (key.kind() == RecordKind.SERVICE
				&& pins(changes.base()).stream().anyMatch((pin) -> pin.service().equals(key.name()))) {
			return Refusals.inconsistent(key + " still has pins; withdraw them first");
		}
		if (this.tombstones.size() >= MAX_TOMBSTONES) {
			return Refusals.limitReached("withdrawn records", MAX_TOMBSTONES);
		}
		return remove(key, currentVersion, changes);
	}

	private CommandResult withdrawAbsent(RecordKey key, long version) {
		Tombstone tombstone = this.tombstones.get(key);
		if (tombstone == null) {
			return Refusals.notFound(key.toString());
		}
		return (tombstone.version() == version) ? new CommandResult.Applied(tombstone.viewVersion())
				: Refusals.withdrawn(key, version, tombstone.version());
	}

	private CommandResult remove(RecordKey key, long version, ViewChanges changes) {
		this.revision++;
		this.tombstones.put(key, new Tombstone(key.kind(), key.name(), version, changes.nextVersion()));
		changes.remove(new Removed.RemovedRecord(key.kind(), key.name()));
		if (key.kind() == RecordKind.SERVICE) {
			changes.base().shards(key.name()).forEach((shard) -> changes.remove(new Removed.RemovedShard(shard.id())));
			changes.base()
				.targets(key.name())
				.forEach((target) -> changes.remove(new Removed.RemovedTarget(target.spec().name())));
		}
		return new CommandResult.Applied(changes.nextVersion());
	}

	long revision() {
		return this.revision;
	}

	Collection<Tombstone> tombstones() {
		return this.tombstones.values();
	}

	void restore(long restoredRevision, Collection<Tombstone> restoredTombstones) {
		this.revision = restoredRevision;
		this.tombstones.clear();
		restoredTombstones
			.forEach((tombstone) -> this.tombstones.put(new RecordKey(tombstone.kind(), tombstone.name()), tombstone));
	}

}

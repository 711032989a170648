package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A disk that keeps what was synced.
 */
final class TestDisk {

	private final ReplicaId id;

	private HardState hardState = HardState.BLANK;

	private Optional<Snapshot> snapshot = Optional.empty();

	private final TreeMap<Long, LogEntry> entries = new TreeMap<>();

	TestDisk(ReplicaId id) {
		this.id = id;
	}

	void write(PersistBatch batch) {
		assertThat(batch.snapshot().isPresent() && batch.truncateFrom() > 0)
			.as("a crash between snapshot and truncation would leave conflicting entries")
			.isFalse();
		batch.snapshot().ifPresent((made) -> {
			this.snapshot = Optional.of(made);
			this.entries.headMap(made.index(), true).clear();
		});
		if (batch.truncateFrom() > 0) {
			this.entries.tailMap(batch.truncateFrom(), true).clear();
		}
		batch.entries().forEach((entry) -> this.entries.put(entry.index(), entry));
		batch.hardState().ifPresent((state) -> this.hardState = state);
	}

	StoredState stored() {
		return new StoredState(this.id, this.hardState, this.snapshot, List.copyOf(this.entries.values()));
	}

}

package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The simulated disk of a replica; holds the batches that were synced.
 */
final class TestDisk {

	private final ReplicaId id;

	private HardState hardState = HardState.EMPTY;

	private Optional<Snapshot> snapshot = Optional.empty();

	private final TreeMap<Long, LogEntry> entries = new TreeMap<>();

	TestDisk(ReplicaId id) {
		this.id = id;
	}

	void write(PersistBatch batch) {
		assertThat(batch.snapshot().isPresent() && batch.truncateFrom() > 0)
			.as("batch has both a snapshot and a truncation; a crash between them would leave conflicting entries")
			.isFalse();
		batch.snapshot().ifPresent((written) -> {
			this.snapshot = Optional.of(written);
			this.entries.headMap(written.index(), true).clear();
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

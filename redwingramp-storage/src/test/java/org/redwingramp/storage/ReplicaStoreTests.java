package org.redwingramp.storage;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.StoredState;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ReplicaStoreTests {

	private final Random random = new Random(11);

	@TempDir
	private Path folder;

	// Guards against state that is lost or reordered by a restart.
	@Test
	void shouldRecoverAllBatchesAfterReopening() throws Exception {
		StoredState initial = persistAndReopen(List.of());
		assertThat(initial.empty()).isTrue();
		StoredState recovered = persistAndReopen(
				List.of(Samples.voteBatch(1), Samples.appendBatch(1, 5), Samples.voteBatch(2),
						new PersistBatch(4, Optional.empty(), Optional.empty(), 4, Samples.logEntries(4, 8)),
						Samples.snapshotBatch(6)));
		assertThat(recovered.id()).isEqualTo(initial.id());
		assertThat(recovered.hardState()).isEqualTo(Samples.voteBatch(2).hardState().orElseThrow());
		assertThat(recovered.snapshot().orElseThrow().index()).isEqualTo(6);
		assertThat(recovered.entries()).extracting("index").containsExactly(7L, 8L);
	}

	// Guards against stale entries that remain after a snapshot from the leader is
	// installed.
	@Test
	void shouldReplaceLogWithSnapshotAheadOfIt() throws Exception {
		StoredState recovered = persistAndReopen(
				List.of(Samples.appendBatch(1, 5), Samples.snapshotBatch(20), Samples.appendBatch(21, 22)));
		assertThat(recovered.snapshot().orElseThrow().index()).isEqualTo(20);
		assertThat(recovered.entries()).extracting("index").containsExactly(21L, 22L);
	}

	// Guards against two processes that write to the same log.
	@Test
	void shouldRejectOpeningAFolderThatIsInUse() throws Exception {
		try (ReplicaStore store = ReplicaStore.open(this.folder, Samples.NAME, this.random)) {
			assertThat(store.load().empty()).isTrue();
			assertThatExceptionOfType(StorageException.class)
				.isThrownBy(() -> ReplicaStore.open(this.folder, Samples.NAME, this.random))
				.withMessageContaining("in use");
		}
	}

	// Guards against a replica that votes with the stored state of another one.
	@Test
	void shouldRejectTheFolderOfAnotherReplica() throws Exception {
		persistAndReopen(List.of(Samples.appendBatch(1, 1)));
		assertThatExceptionOfType(StorageException.class)
			.isThrownBy(() -> ReplicaStore.open(this.folder, "control-b", this.random))
			.withMessageContaining("control-a")
			.isNotInstanceOf(CorruptStorageException.class);
	}

	// Guards against a gap in the log, which would be detected only at the next start.
	@Test
	void shouldRejectABatchThatLeavesAGapInTheLog() throws Exception {
		try (ReplicaStore store = ReplicaStore.open(this.folder, Samples.NAME, this.random)) {
			store.persist(Samples.appendBatch(1, 3));
			assertThatExceptionOfType(StorageException.class)
				.isThrownBy(() -> store.persist(Samples.appendBatch(5, 6)));
		}
	}

	private StoredState persistAndReopen(List<PersistBatch> batches) throws StorageException {
		try (ReplicaStore store = ReplicaStore.open(this.folder, Samples.NAME, this.random)) {
			for (PersistBatch batch : batches) {
				store.persist(batch);
			}
		}
		try (ReplicaStore store = ReplicaStore.open(this.folder, Samples.NAME, this.random)) {
			return store.load();
		}
	}

}

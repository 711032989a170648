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

	// Guards against state that is lost or reordered across a restart.
	@Test
	void shouldFindAllBatchesAgain() throws Exception {
		StoredState empty = persist(List.of());
		assertThat(empty.empty()).isTrue();
		StoredState found = persist(List.of(Samples.vote(1), Samples.entries(1, 5), Samples.vote(2),
				new PersistBatch(4, Optional.empty(), Optional.empty(), 4, Samples.list(4, 8)), Samples.snapshot(6)));
		assertThat(found.id()).isEqualTo(empty.id());
		assertThat(found.hardState()).isEqualTo(Samples.vote(2).hardState().orElseThrow());
		assertThat(found.snapshot().orElseThrow().index()).isEqualTo(6);
		assertThat(found.entries()).extracting("index").containsExactly(7L, 8L);
	}

	// Guards against a snapshot from the leader that leaves stale entries behind.
	@Test
	void shouldReplaceTheLogByASnapshotAheadOfIt() throws Exception {
		StoredState found = persist(List.of(Samples.entries(1, 5), Samples.snapshot(20), Samples.entries(21, 22)));
		assertThat(found.snapshot().orElseThrow().index()).isEqualTo(20);
		assertThat(found.entries()).extracting("index").containsExactly(21L, 22L);
	}

	// Guards against two processes that write the same log.
	@Test
	void shouldRefuseASecondOpener() throws Exception {
		try (ReplicaStore store = ReplicaStore.open(this.folder, Samples.NAME, this.random)) {
			assertThat(store.load().empty()).isTrue();
			assertThatExceptionOfType(StorageException.class)
				.isThrownBy(() -> ReplicaStore.open(this.folder, Samples.NAME, this.random))
				.withMessageContaining("in use");
		}
	}

	// Guards against a replica that votes with the disk of another one.
	@Test
	void shouldRefuseTheFolderOfAnotherReplica() throws Exception {
		persist(List.of(Samples.entries(1, 1)));
		assertThatExceptionOfType(StorageException.class)
			.isThrownBy(() -> ReplicaStore.open(this.folder, "control-b", this.random))
			.withMessageContaining("control-a")
			.isNotInstanceOf(CorruptStorageException.class);
	}

	// Guards against a gap in the log, which would be found only at the next start.
	@Test
	void shouldRefuseABatchThatDoesNotFollow() throws Exception {
		try (ReplicaStore store = ReplicaStore.open(this.folder, Samples.NAME, this.random)) {
			store.persist(Samples.entries(1, 3));
			assertThatExceptionOfType(StorageException.class).isThrownBy(() -> store.persist(Samples.entries(5, 6)));
		}
	}

	private StoredState persist(List<PersistBatch> batches) throws StorageException {
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

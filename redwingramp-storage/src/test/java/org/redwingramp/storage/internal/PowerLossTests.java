package org.redwingramp.storage.internal;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.ReplicaStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against file operations that don't sync. After a power loss, the contents of a
 * file that was not forced and the file names in a folder that was not forced are lost.
 */
class PowerLossTests {

	private final PowerLossDisk disk = new PowerLossDisk();

	@TempDir
	private Path folder;

	@Test
	void shouldKeepAnAcknowledgedBatchWhenPowerIsLost() throws Exception {
		ReplicaId id;
		try (ReplicaStore store = open()) {
			id = store.load().id();
			store.persist(batch(1, 1));
			store.persist(batch(2, 2));
		}
		this.disk.losePower(this.folder);
		try (ReplicaStore store = open()) {
			StoredState state = store.load();
			assertThat(state.id()).isEqualTo(id);
			assertThat(state.entries()).extracting(LogEntry::index).containsExactly(1L, 2L);
			assertThat(state.hardState().term()).isEqualTo(2);
		}
	}

	@Test
	void shouldKeepTheIdentityOfANewFolderWhenPowerIsLost() throws Exception {
		ReplicaId id;
		try (ReplicaStore store = open()) {
			id = store.load().id();
		}
		this.disk.losePower(this.folder);
		try (ReplicaStore store = open()) {
			assertThat(store.load().id()).isEqualTo(id);
		}
	}

	private ReplicaStore open() throws Exception {
		return FileReplicaStore.open(this.folder, "a", new Random(), new DiskFiles(this.disk::open),
				StoreLimits.DEFAULT);
	}

	private static PersistBatch batch(long number, long index) {
		LogEntry entry = new LogEntry(index, 1, LogEntry.Kind.COMMAND, 0, new byte[] { 7 });
		return new PersistBatch(number, Optional.of(new HardState(index, Optional.empty())), Optional.empty(), 0,
				List.of(entry));
	}

}

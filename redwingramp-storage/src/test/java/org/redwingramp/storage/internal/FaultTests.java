package org.redwingramp.storage.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.CorruptStorageException;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.storage.Samples;
import org.redwingramp.storage.StorageException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class FaultTests {

	/** Limits so small that a few batches fill several segments. */
	private static final StoreLimits LIMITS = new StoreLimits(300, 10_000, 10_000);

	private static final List<PersistBatch> HISTORY = List.of(Samples.voteBatch(1), Samples.appendBatch(1, 4),
			Samples.appendBatch(5, 9), Samples.voteBatch(2), Samples.appendBatch(10, 14), Samples.snapshotBatch(8),
			Samples.appendBatch(15, 20), Samples.voteBatch(3), Samples.appendBatch(21, 24), Samples.snapshotBatch(22),
			Samples.appendBatch(25, 26));

	private final Random random = new Random(23);

	@TempDir
	private Path root;

	// Guards against missing syncs and writes in the wrong order: a full disk, a crash or
	// a power loss at any change on the disk must neither lose acknowledged state nor
	// let a partially written batch be read as state.
	@Test
	void shouldKeepExactlyWhatWasAcknowledgedWhereverWritingStops() throws Exception {
		List<String> expectedStates = new ArrayList<>();
		for (int i = 0; i <= HISTORY.size(); i++) {
			MemoryFiles files = new MemoryFiles();
			persistUntilFailure(files, HISTORY.subList(0, i));
			expectedStates.add(reopen(files));
		}
		MemoryFiles complete = new MemoryFiles();
		persistUntilFailure(complete, HISTORY);
		for (int firstFailure = 1; firstFailure <= complete.changes(); firstFailure++) {
			MemoryFiles files = new MemoryFiles();
			files.failFrom(firstFailure);
			int acknowledged = persistUntilFailure(files, HISTORY);
			List<String> allowedStates = expectedStates.subList(acknowledged,
					Math.min(acknowledged + 2, expectedStates.size()));
			for (int i = 0; i < 200; i++) {
				MemoryFiles remaining = files.afterPowerLoss(this.random);
				assertThat(reopen(remaining)).as("power loss at change %d, attempt %d", firstFailure, i)
					.isIn(allowedStates);
			}
			files.stopFailing();
			String recovered = reopen(files);
			assertThat(recovered).as("crash at change %d", firstFailure).isIn(allowedStates);
			assertThat(reopen(files.afterPowerLoss(this.random))).as("power loss after restart").isEqualTo(recovered);
		}
	}

	private int persistUntilFailure(MemoryFiles files, List<PersistBatch> batches) throws CorruptStorageException {
		int acknowledged = 0;
		try (ReplicaStore store = open(files)) {
			for (PersistBatch batch : batches) {
				store.persist(batch);
				acknowledged++;
			}
		}
		catch (CorruptStorageException ex) {
			throw ex;
		}
		catch (StorageException ex) {
			assertThat(ex).hasMessageContaining("No space left");
		}
		return acknowledged;
	}

	private ReplicaStore open(MemoryFiles files) throws StorageException {
		return FileReplicaStore.open(this.root, Samples.NAME, this.random, files, LIMITS);
	}

	private String reopen(MemoryFiles files) throws StorageException {
		try (ReplicaStore store = open(files)) {
			return Samples.describe(store.load());
		}
	}

	// Guards against a store that continues after a failed sync: the operating system may
	// have dropped the unsynced writes.
	@Test
	void shouldRejectUseAfterAFailedSync() throws Exception {
		MemoryFiles files = new MemoryFiles();
		try (ReplicaStore store = open(files)) {
			files.failFrom(files.changes() + 20);
			assertThatExceptionOfType(StorageException.class).isThrownBy(() -> persistUntilFailure(store))
				.withMessageContaining("No space left");
			files.stopFailing();
			assertThatExceptionOfType(StorageException.class).isThrownBy(() -> store.persist(Samples.voteBatch(9)))
				.withMessageContaining("restart the replica");
		}
	}

	private void persistUntilFailure(ReplicaStore store) throws StorageException {
		for (long term = 1; term < 100; term++) {
			store.persist(Samples.voteBatch(term));
		}
	}

	// Guards against a torn tail that prevents the replica from starting, and against a
	// lost acknowledged batch that is mistaken for a torn tail.
	@Test
	void shouldDistinguishATornTailFromALostBatchAtEachByte() throws Exception {
		Path folder = createHistory("log");
		Path last = lastSegment(folder);
		byte[] data = Files.readAllBytes(last);
		byte[] mark = Files.readAllBytes(folder.resolve(StoreLayout.SYNC_MARK));
		try (ReplicaStore store = open(folder)) {
			store.persist(Samples.appendBatch(27, 30));
		}
		byte[] extended = Files.readAllBytes(last);
		for (int size = data.length; size < extended.length; size++) {
			Path lost = copyFolder(folder, "lost-" + size);
			Files.write(lost.resolve(last.getFileName()), Arrays.copyOf(extended, size));
			assertCorrupt(lost, last);
			Path torn = copyFolder(lost, "torn-" + size);
			Files.write(torn.resolve(StoreLayout.SYNC_MARK), mark);
			assertThat(reopen(torn).entries()).hasSize(4);
			assertThat(Files.size(torn.resolve(last.getFileName()))).isEqualTo(data.length);
		}
	}

	// Guards against a replica that discards its state because a power loss tore the
	// sync mark, which is overwritten without a sync.
	@Test
	void shouldKeepAcknowledgedStateWhenThePowerLossTearsTheSyncMark() throws Exception {
		int tornMarks = 0;
		for (int i = 0; i < 200; i++) {
			MemoryFiles files = new MemoryFiles();
			ReplicaStore running = open(files);
			running.persist(Samples.appendBatch(1, 4));
			running.persist(Samples.appendBatch(5, 9));
			MemoryFiles remaining = files.afterPowerLoss(this.random);
			tornMarks += holdsTornMark(remaining) ? 1 : 0;
			try (ReplicaStore store = open(remaining)) {
				assertThat(store.load().entries()).hasSize(9);
			}
		}
		assertThat(tornMarks).isGreaterThan(20);
	}

	private boolean holdsTornMark(MemoryFiles files) throws IOException {
		for (String name : files.list(this.root)) {
			boolean mark = name.startsWith(StoreLayout.SYNC_MARK);
			if (mark && SyncMark.decode(files.read(this.root.resolve(name), SyncMark.MAX_BYTES)).isEmpty()) {
				return true;
			}
		}
		return false;
	}

	// Guards against a lost acknowledged batch that is mistaken for a torn tail after the
	// process was killed, when only the recent sync mark covers it.
	@Test
	void shouldDetectALostBatchAfterTheProcessWasKilled() throws Exception {
		Path folder = createHistory("running");
		Path last = lastSegment(folder);
		byte[] data = Files.readAllBytes(last);
		try (ReplicaStore store = open(folder)) {
			store.persist(Samples.appendBatch(27, 30));
			copyFolder(folder, "killed");
		}
		Path killed = this.root.resolve("killed");
		assertThat(reopen(copyFolder(killed, "intact")).entries()).hasSize(8);
		Files.write(killed.resolve(last.getFileName()), data);
		assertCorrupt(killed, last);
	}

	// Guards against a file with a flipped bit that is read as valid state.
	@Test
	void shouldDetectFlippedBits() throws Exception {
		Path folder = createHistory("flip");
		for (String name : stateFiles(folder)) {
			for (int i = 0; i < 100; i++) {
				Path damaged = this.root.resolve("damaged");
				deleteFiles(damaged);
				copyFolder(folder, "damaged");
				byte[] data = Files.readAllBytes(damaged.resolve(name));
				data[this.random.nextInt(data.length)] ^= (byte) (1 << this.random.nextInt(8));
				Files.write(damaged.resolve(name), data);
				assertCorrupt(damaged, damaged.resolve(name));
			}
		}
	}

	// Guards against damage that is mistaken for a torn tail when the sync mark is behind
	// the log, as it may be after a power loss.
	@Test
	void shouldDetectDamageBeforeAnIntactBatchWhenTheSyncMarkIsBehind() throws Exception {
		Path folder = createHistory("behind");
		byte[] mark = Files.readAllBytes(folder.resolve(StoreLayout.SYNC_MARK));
		Path last = lastSegment(folder);
		int first = (int) Files.size(last);
		try (ReplicaStore store = ReplicaStore.open(folder, Samples.NAME, this.random)) {
			store.persist(Samples.voteBatch(7));
			store.persist(Samples.voteBatch(8));
		}
		byte[] data = Files.readAllBytes(last);
		data[first + Frame.OVERHEAD_BYTES] ^= 1;
		Files.write(last, data);
		Files.write(folder.resolve(StoreLayout.SYNC_MARK), mark);
		assertCorrupt(folder, last);
	}

	// Guards against a missing file that goes undetected and shortens the log.
	@Test
	void shouldDetectEachMissingFile() throws Exception {
		Path folder = createHistory("missing");
		assertThat(stateFiles(folder)).hasSizeGreaterThan(4);
		for (String name : stateFiles(folder)) {
			Path damaged = copyFolder(folder, "without-" + name);
			Files.delete(damaged.resolve(name));
			assertCorrupt(damaged, damaged.resolve(name));
		}
	}

	// Guards against files that have grown, for example when a broken file system appends
	// the content of another file, and against reading them into memory completely.
	@Test
	void shouldDetectEachFileThatHasGrown() throws Exception {
		Path folder = createHistory("grown");
		for (String name : stateFiles(folder)) {
			Path damaged = copyFolder(folder, "grown-" + name);
			Files.write(damaged.resolve(name), new byte[200_000], StandardOpenOption.APPEND);
			if (!damaged.resolve(name).equals(lastSegment(damaged))) {
				assertCorrupt(damaged, damaged.resolve(name));
			}
		}
		Path last = lastSegment(folder);
		Files.write(last, new byte[200_000], StandardOpenOption.APPEND);
		assertCorrupt(folder, last);
	}

	// Guards against a log restored from a backup that is older than the snapshot in the
	// same folder.
	@Test
	void shouldDetectALogOlderThanItsSnapshot() throws Exception {
		Path folder = createHistory("current");
		Path old = this.root.resolve("old");
		try (ReplicaStore store = open(old)) {
			store.persist(Samples.appendBatch(1, 4));
		}
		Path snapshot = new StoreLayout(folder).snapshot(22);
		Files.copy(snapshot, old.resolve(snapshot.getFileName()));
		assertCorrupt(old, old.resolve(snapshot.getFileName()));
	}

	// Guards against a replica that votes again under its previous incarnation after it
	// has lost its state, and against deletion of the damaged files.
	@Test
	void shouldResetUnderANewIncarnation() throws Exception {
		Path folder = createHistory("reset");
		StoredState before = reopen(folder);
		List<String> names = stateFiles(folder);
		try (ReplicaStore store = ReplicaStore.reset(folder, Samples.NAME, this.random)) {
			assertThat(store.load().empty()).isTrue();
			assertThat(store.load().id().incarnation()).isNotEqualTo(before.id().incarnation());
			store.persist(Samples.appendBatch(1, 2));
		}
		assertThat(reopen(folder).entries()).hasSize(2);
		assertThat(stateFiles(folder.resolve("damaged-1"))).isEqualTo(names);
	}

	// Guards against a folder of another format version that is mistaken for a damaged
	// one and reset, which would discard the replica's state.
	@Test
	void shouldDistinguishAnotherFormatVersionFromDamage() throws Exception {
		Path folder = createHistory("newer");
		Identity newer = new Identity(Formats.VERSION + 1, reopen(folder).id());
		Files.write(folder.resolve(StoreLayout.IDENTITY), newer.encode().encode().array());
		assertThatExceptionOfType(StorageException.class).isThrownBy(() -> reopen(folder))
			.withMessageContaining("format version 2")
			.isNotInstanceOf(CorruptStorageException.class);
	}

	private Path createHistory(String name) throws StorageException {
		Path folder = this.root.resolve(name);
		try (ReplicaStore store = open(folder)) {
			for (PersistBatch batch : HISTORY) {
				store.persist(batch);
			}
		}
		return folder;
	}

	private ReplicaStore open(Path folder) throws StorageException {
		return FileReplicaStore.open(folder, Samples.NAME, this.random, new DiskFiles(), LIMITS);
	}

	private StoredState reopen(Path folder) throws StorageException {
		try (ReplicaStore store = open(folder)) {
			return store.load();
		}
	}

	private void assertCorrupt(Path folder, Path file) throws IOException {
		String before = checksums(folder);
		assertThatExceptionOfType(CorruptStorageException.class).as(file.toString())
			.isThrownBy(() -> reopen(folder))
			.satisfies((ex) -> assertThat(ex.file().getParent()).isEqualTo(folder));
		assertThat(checksums(folder)).as("damaged files must not be modified").isEqualTo(before);
	}

	private static String checksums(Path folder) throws IOException {
		StringBuilder checksums = new StringBuilder();
		for (String name : stateFiles(folder)) {
			checksums.append(name).append(Arrays.hashCode(Files.readAllBytes(folder.resolve(name)))).append(' ');
		}
		return checksums.toString();
	}

	private static Path lastSegment(Path folder) throws IOException {
		return stateFiles(folder).stream()
			.filter((name) -> name.startsWith("segment-"))
			.reduce((first, second) -> second)
			.map(folder::resolve)
			.orElseThrow();
	}

	private static List<String> stateFiles(Path folder) throws IOException {
		List<String> names = new ArrayList<>(new DiskFiles().list(folder));
		names.removeIf((name) -> name.equals(StoreLayout.LOCK) || name.startsWith(StoreLayout.DAMAGED_PREFIX));
		return names;
	}

	private Path copyFolder(Path folder, String name) throws IOException {
		Path target = Files.createDirectories(this.root.resolve(name));
		for (String file : stateFiles(folder)) {
			Files.copy(folder.resolve(file), target.resolve(file), StandardCopyOption.REPLACE_EXISTING);
		}
		return target;
	}

	private static void deleteFiles(Path folder) throws IOException {
		if (Files.exists(folder)) {
			try (Stream<Path> files = Files.list(folder)) {
				for (Path file : files.toList()) {
					Files.delete(file);
				}
			}
		}
	}

}

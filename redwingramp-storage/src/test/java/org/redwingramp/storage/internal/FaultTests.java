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

	/** Small, so that a few batches fill several segments. */
	private static final StoreLimits LIMITS = new StoreLimits(300, 10_000, 10_000);

	private static final List<PersistBatch> HISTORY = List.of(Samples.vote(1), Samples.entries(1, 4),
			Samples.entries(5, 9), Samples.vote(2), Samples.entries(10, 14), Samples.snapshot(8),
			Samples.entries(15, 20), Samples.vote(3), Samples.entries(21, 24), Samples.snapshot(22),
			Samples.entries(25, 26));

	private final Random random = new Random(23);

	@TempDir
	private Path root;

	// Guards against acknowledged state that is lost, and half-written state that is
	// read, wherever a full disk, a crash or a loss of power stops the writing: finds
	// missing syncs and wrong orders.
	@Test
	void shouldKeepExactlyWhatWasAcknowledgedWhereverWritingStops() throws Exception {
		List<String> expected = new ArrayList<>();
		for (int i = 0; i <= HISTORY.size(); i++) {
			MemoryFiles files = new MemoryFiles();
			run(files, HISTORY.subList(0, i));
			expected.add(reopen(files));
		}
		MemoryFiles whole = new MemoryFiles();
		run(whole, HISTORY);
		for (int failAt = 1; failAt <= whole.changes(); failAt++) {
			MemoryFiles files = new MemoryFiles();
			files.failAt(failAt);
			int acknowledged = run(files, HISTORY);
			List<String> allowed = expected.subList(acknowledged, Math.min(acknowledged + 2, expected.size()));
			for (int i = 0; i < 200; i++) {
				MemoryFiles left = files.afterPowerLoss(this.random);
				assertThat(reopen(left)).as("loss of power at change %d, try %d", failAt, i).isIn(allowed);
			}
			files.recover();
			String found = reopen(files);
			assertThat(found).as("crash at change %d", failAt).isIn(allowed);
			assertThat(reopen(files.afterPowerLoss(this.random))).as("loss of power after restart").isEqualTo(found);
		}
	}

	private int run(MemoryFiles files, List<PersistBatch> batches) throws CorruptStorageException {
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

	// Guards against a store that goes on after a failed sync, when the disk may have
	// dropped what was written.
	@Test
	void shouldRefuseUseAfterAFailedSync() throws Exception {
		MemoryFiles files = new MemoryFiles();
		try (ReplicaStore store = open(files)) {
			files.failAt(files.changes() + 20);
			assertThatExceptionOfType(StorageException.class).isThrownBy(() -> persistUntilFailure(store))
				.withMessageContaining("No space left");
			files.recover();
			assertThatExceptionOfType(StorageException.class).isThrownBy(() -> store.persist(Samples.vote(9)))
				.withMessageContaining("restart the replica");
		}
	}

	private void persistUntilFailure(ReplicaStore store) throws StorageException {
		for (long term = 1; term < 100; term++) {
			store.persist(Samples.vote(term));
		}
	}

	// Guards against a torn tail that stops the replica, and against an acknowledged
	// batch that is taken for a torn tail.
	@Test
	void shouldTellATornTailFromALostBatchAtEachByte() throws Exception {
		Path folder = history("log");
		Path last = lastSegment(folder);
		byte[] data = Files.readAllBytes(last);
		byte[] mark = Files.readAllBytes(folder.resolve(StoreLayout.MARK));
		try (ReplicaStore store = open(folder)) {
			store.persist(Samples.entries(27, 30));
		}
		byte[] longer = Files.readAllBytes(last);
		for (int size = data.length; size < longer.length; size++) {
			Path lost = copy(folder, "lost-" + size);
			Files.write(lost.resolve(last.getFileName()), Arrays.copyOf(longer, size));
			assertCorrupt(lost, last);
			Path torn = copy(lost, "torn-" + size);
			Files.write(torn.resolve(StoreLayout.MARK), mark);
			assertThat(reopen(torn).entries()).hasSize(4);
			assertThat(Files.size(torn.resolve(last.getFileName()))).isEqualTo(data.length);
		}
	}

	// Guards against a flipped bit that is read as state.
	@Test
	void shouldNoticeEachFlippedBit() throws Exception {
		Path folder = history("flip");
		for (String name : stateFiles(folder)) {
			for (int i = 0; i < 100; i++) {
				Path damaged = this.root.resolve("damaged");
				delete(damaged);
				copy(folder, "damaged");
				byte[] data = Files.readAllBytes(damaged.resolve(name));
				data[this.random.nextInt(data.length)] ^= (byte) (1 << this.random.nextInt(8));
				Files.write(damaged.resolve(name), data);
				assertCorrupt(damaged, damaged.resolve(name));
			}
		}
	}

	// Guards against damage that is taken for a torn tail because the mark is behind the
	// log, as a loss of power may leave it.
	@Test
	void shouldNoticeDamageBeforeAnIntactBatchWithoutTheMark() throws Exception {
		Path folder = history("behind");
		byte[] mark = Files.readAllBytes(folder.resolve(StoreLayout.MARK));
		Path last = lastSegment(folder);
		int first = (int) Files.size(last);
		try (ReplicaStore store = ReplicaStore.open(folder, Samples.NAME, this.random)) {
			store.persist(Samples.vote(7));
			store.persist(Samples.vote(8));
		}
		byte[] data = Files.readAllBytes(last);
		data[first + Block.OVERHEAD] ^= 1;
		Files.write(last, data);
		Files.write(folder.resolve(StoreLayout.MARK), mark);
		assertCorrupt(folder, last);
	}

	// Guards against a missing file that is read as a shorter history.
	@Test
	void shouldNoticeEachMissingFile() throws Exception {
		Path folder = history("missing");
		assertThat(stateFiles(folder)).hasSizeGreaterThan(4);
		for (String name : stateFiles(folder)) {
			Path damaged = copy(folder, "without-" + name);
			Files.delete(damaged.resolve(name));
			assertCorrupt(damaged, damaged.resolve(name));
		}
	}

	// Guards against files that grew, for example into the next one by a broken file
	// system, and against reading them into memory whole.
	@Test
	void shouldNoticeEachFileThatGrew() throws Exception {
		Path folder = history("grown");
		for (String name : stateFiles(folder)) {
			Path damaged = copy(folder, "grown-" + name);
			Files.write(damaged.resolve(name), new byte[200_000], StandardOpenOption.APPEND);
			if (!damaged.resolve(name).equals(lastSegment(damaged))) {
				assertCorrupt(damaged, damaged.resolve(name));
			}
		}
		Path last = lastSegment(folder);
		Files.write(last, new byte[200_000], StandardOpenOption.APPEND);
		assertCorrupt(folder, last);
	}

	// Guards against a log from a backup that is older than the snapshot beside it.
	@Test
	void shouldNoticeALogOlderThanItsSnapshot() throws Exception {
		Path folder = history("current");
		Path old = this.root.resolve("old");
		try (ReplicaStore store = open(old)) {
			store.persist(Samples.entries(1, 4));
		}
		Path snapshot = new StoreLayout(folder).snapshot(22);
		Files.copy(snapshot, old.resolve(snapshot.getFileName()));
		assertCorrupt(old, old.resolve(snapshot.getFileName()));
	}

	// Guards against a replica that votes again under its former incarnation after it
	// lost its state, and against losing the damaged files.
	@Test
	void shouldResetUnderANewIncarnation() throws Exception {
		Path folder = history("reset");
		StoredState before = reopen(folder);
		List<String> names = stateFiles(folder);
		try (ReplicaStore store = ReplicaStore.reset(folder, Samples.NAME, this.random)) {
			assertThat(store.load().empty()).isTrue();
			assertThat(store.load().id().incarnation()).isNotEqualTo(before.id().incarnation());
			store.persist(Samples.entries(1, 2));
		}
		assertThat(reopen(folder).entries()).hasSize(2);
		assertThat(stateFiles(folder.resolve("damaged-1"))).isEqualTo(names);
	}

	// Guards against a folder of another program version that is taken for damaged and
	// reset, which would cost the replica its state.
	@Test
	void shouldTellAnotherFormatVersionFromDamage() throws Exception {
		Path folder = history("newer");
		Identity newer = new Identity(Formats.VERSION + 1, reopen(folder).id());
		Files.write(folder.resolve(StoreLayout.IDENTITY), newer.encode().encode().array());
		assertThatExceptionOfType(StorageException.class).isThrownBy(() -> reopen(folder))
			.withMessageContaining("format version 2")
			.isNotInstanceOf(CorruptStorageException.class);
	}

	private Path history(String name) throws StorageException {
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
		String before = contents(folder);
		assertThatExceptionOfType(CorruptStorageException.class).as(file.toString())
			.isThrownBy(() -> reopen(folder))
			.satisfies((ex) -> assertThat(ex.file().getParent()).isEqualTo(folder));
		assertThat(contents(folder)).as("the damaged files stay as they are").isEqualTo(before);
	}

	private static String contents(Path folder) throws IOException {
		StringBuilder contents = new StringBuilder();
		for (String name : stateFiles(folder)) {
			contents.append(name).append(Arrays.hashCode(Files.readAllBytes(folder.resolve(name)))).append(' ');
		}
		return contents.toString();
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
		names.removeIf((name) -> name.equals(StoreLayout.LOCK) || name.startsWith(StoreLayout.DAMAGED));
		return names;
	}

	private Path copy(Path folder, String name) throws IOException {
		Path target = Files.createDirectories(this.root.resolve(name));
		for (String file : stateFiles(folder)) {
			Files.copy(folder.resolve(file), target.resolve(file), StandardCopyOption.REPLACE_EXISTING);
		}
		return target;
	}

	private static void delete(Path folder) throws IOException {
		if (Files.exists(folder)) {
			try (Stream<Path> files = Files.list(folder)) {
				for (Path file : files.toList()) {
					Files.delete(file);
				}
			}
		}
	}

}

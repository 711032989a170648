package org.redwingramp.storage.internal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A simulated disk in memory that tracks which changes are synced, fails from a given
 * change on and can lose unsynced changes. Each file that was created, renamed or deleted
 * without a sync of the folder is lost or kept on its own, as on file systems without a
 * journal; any part of the bytes that were appended without a sync may be lost. Not
 * thread safe.
 */
final class MemoryFiles implements StoreFiles {

	private final Map<Path, Content> names;

	private Map<Path, Content> syncedNames;

	// Changes of names since the last sync of the folder, in their order.
	private final List<Consumer<Map<Path, Content>>> unsyncedNames = new ArrayList<>();

	private int changes;

	private int firstFailure = Integer.MAX_VALUE;

	MemoryFiles() {
		this(new TreeMap<>());
	}

	private MemoryFiles(Map<Path, Content> names) {
		this.names = names;
		this.syncedNames = new TreeMap<>(names);
	}

	/**
	 * Makes a change and all later ones fail, as on a full disk.
	 * @param change the number of the first change that fails, counted from 1
	 */
	void failFrom(int change) {
		this.firstFailure = change;
	}

	int changes() {
		return this.changes;
	}

	/**
	 * Makes changes succeed again, as after a crash of the process, which loses no
	 * writes.
	 */
	void stopFailing() {
		this.firstFailure = Integer.MAX_VALUE;
	}

	/**
	 * Returns a possible state of the disk after a power loss.
	 * @param random chooses the unsynced changes that are lost
	 * @return the disk after the power loss
	 */
	MemoryFiles afterPowerLoss(Random random) {
		Map<Path, Content> remaining = new TreeMap<>();
		Map<Path, Content> chosen = new TreeMap<>(this.syncedNames);
		this.unsyncedNames.stream().filter((change) -> random.nextBoolean()).forEach((change) -> change.accept(chosen));
		chosen.forEach((path, content) -> remaining.put(path, new Content(content.afterPowerLoss(random))));
		return new MemoryFiles(remaining);
	}

	private void countChange() throws IOException {
		this.changes++;
		if (this.changes >= this.firstFailure) {
			throw new IOException("No space left on device");
		}
	}

	private Content find(Path file) throws IOException {
		Content content = this.names.get(file);
		if (content == null) {
			throw new IOException("No such file: " + file);
		}
		return content;
	}

	@Override
	public List<String> list(Path folder) {
		return this.names.keySet().stream().map((path) -> path.getFileName().toString()).toList();
	}

	@Override
	public byte[] read(Path file, long limit) throws IOException {
		return find(file).current.clone();
	}

	@Override
	public Output openForWriting(Path file) throws IOException {
		if (!this.names.containsKey(file)) {
			Content created = new Content(new byte[0]);
			changeNames((disk) -> disk.put(file, created));
		}
		return new MemoryOutput(this.names.get(file));
	}

	@Override
	public void rename(Path from, Path to) throws IOException {
		countChange();
		Content content = find(from);
		changeNames((disk) -> {
			disk.put(to, content);
			disk.remove(from);
		});
	}

	@Override
	public void delete(Path file) throws IOException {
		countChange();
		find(file);
		changeNames((disk) -> disk.remove(file));
	}

	private void changeNames(Consumer<Map<Path, Content>> change) {
		change.accept(this.names);
		this.unsyncedNames.add(change);
	}

	@Override
	public void createFolder(Path folder) {
		// The simulated disk has a single folder.
	}

	@Override
	public void syncFolder(Path folder) throws IOException {
		countChange();
		this.syncedNames = new TreeMap<>(this.names);
		this.unsyncedNames.clear();
	}

	@Override
	public Closeable tryLock(Path file) {
		return () -> {
		};
	}

	private static final class Content {

		private byte[] current;

		private byte[] synced;

		Content(byte[] bytes) {
			this.current = bytes;
			this.synced = bytes;
		}

		byte[] afterPowerLoss(Random random) {
			if (this.current.length <= this.synced.length) {
				return random.nextBoolean() ? this.current : this.synced;
			}
			int size = this.synced.length + random.nextInt(this.current.length - this.synced.length + 1);
			byte[] remaining = Arrays.copyOf(this.current, size);
			int lostFrom = this.synced.length + random.nextInt(size - this.synced.length + 1);
			Arrays.fill(remaining, lostFrom, lostFrom + random.nextInt(size - lostFrom + 1), (byte) 0);
			return remaining;
		}

	}

	private final class MemoryOutput implements Output {

		private final Content content;

		MemoryOutput(Content content) {
			this.content = content;
		}

		@Override
		public void write(ByteBuffer data, long position) throws IOException {
			boolean failing = MemoryFiles.this.changes + 1 == MemoryFiles.this.firstFailure;
			int count = failing ? data.remaining() / 2 : data.remaining();
			int end = (int) position + count;
			byte[] changed = Arrays.copyOf(this.content.current, Math.max(this.content.current.length, end));
			data.get(changed, (int) position, count);
			// The sync mark fits in one disk sector, so a write to it is never torn.
			this.content.current = (failing && position == 0 && this.content.current.length > 0) ? this.content.current
					: changed;
			countChange();
		}

		@Override
		public void truncate(long size) throws IOException {
			countChange();
			this.content.current = Arrays.copyOf(this.content.current, (int) size);
		}

		@Override
		public void sync() throws IOException {
			countChange();
			this.content.synced = this.content.current;
		}

		@Override
		public void close() {
			// There is no resource to release.
		}

	}

}

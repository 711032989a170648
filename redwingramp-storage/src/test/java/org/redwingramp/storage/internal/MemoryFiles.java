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
 * journal; each write that wasn't synced is present, missing or torn on its own. Not
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
	 * Returns the state of the disk after a power loss that undoes all unsynced changes.
	 * @return the disk after the power loss
	 */
	MemoryFiles withoutUnsyncedChanges() {
		Map<Path, Content> remaining = new TreeMap<>();
		this.syncedNames.forEach((path, content) -> remaining.put(path, new Content(content.synced)));
		return new MemoryFiles(remaining);
	}

	/**
	 * Returns a possible state of the disk after a power loss.
	 * @param random chooses the unsynced changes that are lost or torn
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

	/** The content of a file and the changes to it since its last sync. */
	private static final class Content {

		private final List<ContentChange> unsynced = new ArrayList<>();

		private byte[] current;

		private byte[] synced;

		Content(byte[] bytes) {
			this.current = bytes;
			this.synced = bytes;
		}

		void change(ContentChange change) {
			this.current = change.apply(this.current);
			this.unsynced.add(change);
		}

		void sync() {
			this.synced = this.current;
			this.unsynced.clear();
		}

		// Each unsynced change is present, missing or torn, independently of the others.
		byte[] afterPowerLoss(Random random) {
			byte[] remaining = this.synced;
			for (ContentChange change : this.unsynced) {
				if (random.nextInt(3) > 0) {
					ContentChange kept = random.nextBoolean() ? change : change.torn(random);
					remaining = kept.apply(remaining);
				}
			}
			return remaining;
		}

	}

	/** A change of the content of a file. */
	private sealed interface ContentChange {

		byte[] apply(byte[] content);

		ContentChange torn(Random random);

	}

	private record Write(int position, byte[] data) implements ContentChange {

		@Override
		public byte[] apply(byte[] content) {
			byte[] changed = Arrays.copyOf(content, Math.max(content.length, this.position + this.data.length));
			System.arraycopy(this.data, 0, changed, this.position, this.data.length);
			return changed;
		}

		@Override
		public ContentChange torn(Random random) {
			int from = random.nextInt(this.data.length + 1);
			int to = from + random.nextInt(this.data.length - from + 1);
			return new Write(this.position + from, Arrays.copyOfRange(this.data, from, to));
		}

	}

	private record Truncation(int size) implements ContentChange {

		@Override
		public byte[] apply(byte[] content) {
			return Arrays.copyOf(content, this.size);
		}

		@Override
		public ContentChange torn(Random random) {
			return this;
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
			byte[] written = new byte[failing ? data.remaining() / 2 : data.remaining()];
			data.get(written);
			this.content.change(new Write((int) position, written));
			countChange();
		}

		@Override
		public void truncate(long size) throws IOException {
			countChange();
			this.content.change(new Truncation((int) size));
		}

		@Override
		public void sync() throws IOException {
			countChange();
			this.content.sync();
		}

		@Override
		public void close() {
			// There is no resource to release.
		}

	}

}

package org.redwingramp.storage.internal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A disk in memory that knows what is synced, fails from a chosen change on and can lose
 * what is not synced. Names are lost or kept together, as a journalling file system does;
 * of bytes that were appended without a sync, any part may be lost. Not thread safe.
 */
final class MemoryFiles implements StoreFiles {

	private final Map<Path, Content> names;

	private Map<Path, Content> syncedNames;

	private int changes;

	private int failAt = Integer.MAX_VALUE;

	MemoryFiles() {
		this(new TreeMap<>());
	}

	private MemoryFiles(Map<Path, Content> names) {
		this.names = names;
		this.syncedNames = new TreeMap<>(names);
	}

	/**
	 * Makes a change and all after it fail, as on a full disk.
	 * @param change the number of the change, from 1
	 */
	void failAt(int change) {
		this.failAt = change;
	}

	int changes() {
		return this.changes;
	}

	/** Lets changes work again, as after a crash of the process, which loses nothing. */
	void recover() {
		this.failAt = Integer.MAX_VALUE;
	}

	/**
	 * Returns what a loss of power may leave.
	 * @param random chooses what is lost
	 * @return the disk after the loss
	 */
	MemoryFiles afterPowerLoss(Random random) {
		Map<Path, Content> left = new TreeMap<>();
		Map<Path, Content> chosen = random.nextBoolean() ? this.names : this.syncedNames;
		chosen.forEach((path, content) -> left.put(path, new Content(content.remainder(random))));
		return new MemoryFiles(left);
	}

	private void change() throws IOException {
		this.changes++;
		if (this.changes >= this.failAt) {
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
		return find(file).live.clone();
	}

	@Override
	public Output write(Path file) throws IOException {
		return new MemoryOutput(this.names.computeIfAbsent(file, (path) -> new Content(new byte[0])));
	}

	@Override
	public void rename(Path from, Path to) throws IOException {
		change();
		this.names.put(to, find(from));
		this.names.remove(from);
	}

	@Override
	public void delete(Path file) throws IOException {
		change();
		find(file);
		this.names.remove(file);
	}

	@Override
	public void createFolder(Path folder) {
		// There is one folder.
	}

	@Override
	public void syncFolder(Path folder) throws IOException {
		change();
		this.syncedNames = new TreeMap<>(this.names);
	}

	@Override
	public Closeable lock(Path file) {
		return () -> {
		};
	}

	private static final class Content {

		private byte[] live;

		private byte[] synced;

		Content(byte[] bytes) {
			this.live = bytes;
			this.synced = bytes;
		}

		byte[] remainder(Random random) {
			if (this.live.length <= this.synced.length) {
				return random.nextBoolean() ? this.live : this.synced;
			}
			int size = this.synced.length + random.nextInt(this.live.length - this.synced.length + 1);
			byte[] left = Arrays.copyOf(this.live, size);
			int lost = this.synced.length + random.nextInt(size - this.synced.length + 1);
			Arrays.fill(left, lost, lost + random.nextInt(size - lost + 1), (byte) 0);
			return left;
		}

	}

	private final class MemoryOutput implements Output {

		private final Content content;

		MemoryOutput(Content content) {
			this.content = content;
		}

		@Override
		public void write(ByteBuffer data, long position) throws IOException {
			boolean failing = MemoryFiles.this.changes + 1 == MemoryFiles.this.failAt;
			int count = failing ? data.remaining() / 2 : data.remaining();
			int end = (int) position + count;
			byte[] changed = Arrays.copyOf(this.content.live, Math.max(this.content.live.length, end));
			data.get(changed, (int) position, count);
			// A mark lies within one sector, so a write to it is never torn.
			this.content.live = (failing && position == 0 && this.content.live.length > 0) ? this.content.live
					: changed;
			change();
		}

		@Override
		public void truncate(long size) throws IOException {
			change();
			this.content.live = Arrays.copyOf(this.content.live, (int) size);
		}

		@Override
		public void sync() throws IOException {
			change();
			this.content.synced = this.content.live;
		}

		@Override
		public void close() {
			// Nothing is held.
		}

	}

}

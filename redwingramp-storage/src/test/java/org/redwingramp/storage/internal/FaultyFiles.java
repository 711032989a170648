package org.redwingramp.storage.internal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/**
 * File operations on the disk that fail from a chosen change on, as after a crash or on a
 * full disk. Not thread safe.
 */
final class FaultyFiles implements StoreFiles {

	private final StoreFiles disk = new DiskFiles();

	private final int failAt;

	private final int partialBytes;

	private int changes;

	/**
	 * Creates file operations that fail.
	 * @param failAt the number of the change that fails, from 1; all later ones fail too
	 * @param partialBytes how many bytes the failing change writes if it is a write
	 */
	FaultyFiles(int failAt, int partialBytes) {
		this.failAt = failAt;
		this.partialBytes = partialBytes;
	}

	int changes() {
		return this.changes;
	}

	private void change() throws IOException {
		this.changes++;
		if (this.changes >= this.failAt) {
			throw new IOException("No space left on device");
		}
	}

	@Override
	public List<String> list(Path folder) throws IOException {
		return this.disk.list(folder);
	}

	@Override
	public byte[] read(Path file, long limit) throws IOException {
		return this.disk.read(file, limit);
	}

	@Override
	public Output write(Path file) throws IOException {
		return new FaultyOutput(this.disk.write(file));
	}

	@Override
	public void rename(Path from, Path to) throws IOException {
		change();
		this.disk.rename(from, to);
	}

	@Override
	public void delete(Path file) throws IOException {
		change();
		this.disk.delete(file);
	}

	@Override
	public void createFolder(Path folder) throws IOException {
		this.disk.createFolder(folder);
	}

	@Override
	public void syncFolder(Path folder) throws IOException {
		change();
		this.disk.syncFolder(folder);
	}

	@Override
	public Closeable lock(Path file) throws IOException {
		return this.disk.lock(file);
	}

	private final class FaultyOutput implements Output {

		private final Output output;

		FaultyOutput(Output output) {
			this.output = output;
		}

		@Override
		public void write(ByteBuffer data, long position) throws IOException {
			if (FaultyFiles.this.changes + 1 == FaultyFiles.this.failAt) {
				int part = Math.min(FaultyFiles.this.partialBytes, data.remaining());
				this.output.write(data.slice(data.position(), part), position);
			}
			change();
			this.output.write(data, position);
		}

		@Override
		public void truncate(long size) throws IOException {
			change();
			this.output.truncate(size);
		}

		@Override
		public void sync() throws IOException {
			change();
			this.output.sync();
		}

		@Override
		public void close() throws IOException {
			this.output.close();
		}

	}

}

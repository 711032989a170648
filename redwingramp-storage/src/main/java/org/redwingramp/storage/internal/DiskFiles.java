package org.redwingramp.storage.internal;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * File operations on a local disk. Stateless and thread safe.
 */
public final class DiskFiles implements StoreFiles {

	private final ChannelOpener channelOpener;

	/** Creates file operations on the default file system. */
	public DiskFiles() {
		this(FileChannel::open);
	}

	DiskFiles(ChannelOpener channelOpener) {
		this.channelOpener = channelOpener;
	}

	@Override
	public List<String> list(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			return files.map((file) -> file.getFileName().toString()).sorted().toList();
		}
	}

	@Override
	public byte[] read(Path file, long limit) throws IOException {
		try (InputStream input = Files.newInputStream(file)) {
			return input.readNBytes((int) Math.min(limit + 1, Integer.MAX_VALUE - 8));
		}
	}

	@Override
	public Output openForWriting(Path file) throws IOException {
		return new ChannelOutput(this.channelOpener.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE));
	}

	@Override
	public void rename(Path from, Path to) throws IOException {
		Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
	}

	@Override
	public void delete(Path file) throws IOException {
		Files.delete(file);
	}

	@Override
	public void createFolder(Path folder) throws IOException {
		if (!Files.isDirectory(folder)) {
			Files.createDirectories(folder);
			Path parent = folder.toAbsolutePath().getParent();
			if (parent != null) {
				syncFolder(parent);
			}
		}
	}

	@Override
	public void syncFolder(Path folder) throws IOException {
		try (FileChannel channel = this.channelOpener.open(folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

	@Override
	public Closeable tryLock(Path file) throws IOException {
		FileChannel channel = this.channelOpener.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
		try {
			FileLock lock = channel.tryLock();
			if (lock != null) {
				return channel;
			}
		}
		catch (OverlappingFileLockException ex) {
			// Another store in this process holds the lock.
		}
		channel.close();
		return null;
	}

	/**
	 * Opens channels. Tests substitute an opener that simulates the loss of unsynced
	 * writes.
	 */
	@FunctionalInterface
	interface ChannelOpener {

		FileChannel open(Path path, OpenOption... options) throws IOException;

	}

	private record ChannelOutput(FileChannel channel) implements Output {

		@Override
		public void write(ByteBuffer data, long position) throws IOException {
			long offset = position;
			while (data.hasRemaining()) {
				offset += this.channel.write(data, offset);
			}
		}

		@Override
		public void truncate(long size) throws IOException {
			this.channel.truncate(size);
		}

		@Override
		public void sync() throws IOException {
			this.channel.force(false);
		}

		@Override
		public void close() throws IOException {
			this.channel.close();
		}

	}

}

package org.redwingramp.storage.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Simulates a power loss on real files: discards file contents that were not forced to
 * the disk, and changes of file names in a folder that were not followed by a force of
 * the folder. Not thread safe.
 */
final class PowerLossDisk {

	private final Map<Object, byte[]> syncedContents = new HashMap<>();

	private final Map<Path, Map<String, Object>> syncedNames = new HashMap<>();

	FileChannel open(Path path, OpenOption... options) throws IOException {
		boolean existed = Files.exists(path);
		FileChannel channel = FileChannel.open(path, options);
		if (!existed) {
			this.syncedContents.remove(key(path));
		}
		return new Channel(path, channel);
	}

	// Resets a folder to the names and contents that were synced.
	void losePower(Path folder) throws IOException {
		Map<String, Object> durableNames = this.syncedNames.getOrDefault(folder, Map.of());
		Map<String, byte[]> durableFiles = new TreeMap<>();
		durableNames.forEach((name, key) -> durableFiles.put(name, this.syncedContents.getOrDefault(key, new byte[0])));
		for (Path file : list(folder)) {
			Files.delete(file);
		}
		this.syncedContents.clear();
		this.syncedNames.clear();
		for (Map.Entry<String, byte[]> file : durableFiles.entrySet()) {
			Path path = folder.resolve(file.getKey());
			Files.write(path, file.getValue());
			this.syncedContents.put(key(path), file.getValue());
		}
		recordNames(folder);
	}

	private void recordSync(Path path) throws IOException {
		if (Files.isDirectory(path)) {
			recordNames(path);
		}
		else if (Files.exists(path)) {
			this.syncedContents.put(key(path), Files.readAllBytes(path));
		}
	}

	private void recordNames(Path folder) throws IOException {
		Map<String, Object> listed = new HashMap<>();
		for (Path file : list(folder)) {
			listed.put(file.getFileName().toString(), key(file));
		}
		this.syncedNames.put(folder, listed);
	}

	private static List<Path> list(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			return files.filter(Files::isRegularFile).toList();
		}
	}

	private static Object key(Path path) throws IOException {
		return Files.readAttributes(path, BasicFileAttributes.class).fileKey();
	}

	/** A channel that records the content of its file or folder when it is forced. */
	private final class Channel extends FileChannel {

		private final Path path;

		private final FileChannel delegate;

		Channel(Path path, FileChannel delegate) {
			this.path = path;
			this.delegate = delegate;
		}

		@Override
		public void force(boolean metaData) throws IOException {
			this.delegate.force(metaData);
			recordSync(this.path);
		}

		@Override
		public int read(ByteBuffer target) throws IOException {
			return this.delegate.read(target);
		}

		@Override
		public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
			return this.delegate.read(targets, offset, length);
		}

		@Override
		public int write(ByteBuffer source) throws IOException {
			return this.delegate.write(source);
		}

		@Override
		public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
			return this.delegate.write(sources, offset, length);
		}

		@Override
		public long position() throws IOException {
			return this.delegate.position();
		}

		@Override
		public FileChannel position(long newPosition) throws IOException {
			this.delegate.position(newPosition);
			return this;
		}

		@Override
		public long size() throws IOException {
			return this.delegate.size();
		}

		@Override
		public FileChannel truncate(long size) throws IOException {
			this.delegate.truncate(size);
			return this;
		}

		@Override
		public long transferTo(long position, long count, WritableByteChannel target) throws IOException {
			return this.delegate.transferTo(position, count, target);
		}

		@Override
		public long transferFrom(ReadableByteChannel source, long position, long count) throws IOException {
			return this.delegate.transferFrom(source, position, count);
		}

		@Override
		public int read(ByteBuffer target, long position) throws IOException {
			return this.delegate.read(target, position);
		}

		@Override
		public int write(ByteBuffer source, long position) throws IOException {
			return this.delegate.write(source, position);
		}

		@Override
		public MappedByteBuffer map(MapMode mode, long position, long size) throws IOException {
			return this.delegate.map(mode, position, size);
		}

		@Override
		public FileLock lock(long position, long size, boolean shared) throws IOException {
			return this.delegate.lock(position, size, shared);
		}

		@Override
		public FileLock tryLock(long position, long size, boolean shared) throws IOException {
			return this.delegate.tryLock(position, size, shared);
		}

		@Override
		protected void implCloseChannel() throws IOException {
			this.delegate.close();
		}

	}

}

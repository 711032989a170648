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
 * Real files that lose at a power loss what wasn't synced: contents that weren't forced,
 * and names of a folder that wasn't forced since they changed. Not thread safe.
 */
final class PowerLossDisk {

	private final Map<Object, byte[]> contents = new HashMap<>();

	private final Map<Path, Map<String, Object>> names = new HashMap<>();

	FileChannel open(Path path, OpenOption... options) throws IOException {
		boolean existed = Files.exists(path);
		FileChannel channel = FileChannel.open(path, options);
		if (!existed) {
			this.contents.remove(key(path));
		}
		return new Channel(path, channel);
	}

	// Leaves a folder with what was synced.
	void losePower(Path folder) throws IOException {
		Map<String, Object> durable = this.names.getOrDefault(folder, Map.of());
		Map<String, byte[]> files = new TreeMap<>();
		durable.forEach((name, key) -> files.put(name, this.contents.getOrDefault(key, new byte[0])));
		for (Path file : list(folder)) {
			Files.delete(file);
		}
		this.contents.clear();
		this.names.clear();
		for (Map.Entry<String, byte[]> file : files.entrySet()) {
			Path path = folder.resolve(file.getKey());
			Files.write(path, file.getValue());
			this.contents.put(key(path), file.getValue());
		}
		syncNames(folder);
	}

	private void sync(Path path) throws IOException {
		if (Files.isDirectory(path)) {
			syncNames(path);
		}
		else if (Files.exists(path)) {
			this.contents.put(key(path), Files.readAllBytes(path));
		}
	}

	private void syncNames(Path folder) throws IOException {
		Map<String, Object> listed = new HashMap<>();
		for (Path file : list(folder)) {
			listed.put(file.getFileName().toString(), key(file));
		}
		this.names.put(folder, listed);
	}

	private static List<Path> list(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			return files.filter(Files::isRegularFile).toList();
		}
	}

	private static Object key(Path path) throws IOException {
		return Files.readAttributes(path, BasicFileAttributes.class).fileKey();
	}

	/**
	 * A channel whose forced state is noted.
	 */
	private final class Channel extends FileChannel {

		private final Path path;

		private final FileChannel real;

		Channel(Path path, FileChannel real) {
			this.path = path;
			this.real = real;
		}

		@Override
		public void force(boolean metaData) throws IOException {
			this.real.force(metaData);
			sync(this.path);
		}

		@Override
		public int read(ByteBuffer target) throws IOException {
			return this.real.read(target);
		}

		@Override
		public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
			return this.real.read(targets, offset, length);
		}

		@Override
		public int write(ByteBuffer source) throws IOException {
			return this.real.write(source);
		}

		@Override
		public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
			return this.real.write(sources, offset, length);
		}

		@Override
		public long position() throws IOException {
			return this.real.position();
		}

		@Override
		public FileChannel position(long newPosition) throws IOException {
			this.real.position(newPosition);
			return this;
		}

		@Override
		public long size() throws IOException {
			return this.real.size();
		}

		@Override
		public FileChannel truncate(long size) throws IOException {
			this.real.truncate(size);
			return this;
		}

		@Override
		public long transferTo(long position, long count, WritableByteChannel target) throws IOException {
			return this.real.transferTo(position, count, target);
		}

		@Override
		public long transferFrom(ReadableByteChannel source, long position, long count) throws IOException {
			return this.real.transferFrom(source, position, count);
		}

		@Override
		public int read(ByteBuffer target, long position) throws IOException {
			return this.real.read(target, position);
		}

		@Override
		public int write(ByteBuffer source, long position) throws IOException {
			return this.real.write(source, position);
		}

		@Override
		public MappedByteBuffer map(MapMode mode, long position, long size) throws IOException {
			return this.real.map(mode, position, size);
		}

		@Override
		public FileLock lock(long position, long size, boolean shared) throws IOException {
			return this.real.lock(position, size, shared);
		}

		@Override
		public FileLock tryLock(long position, long size, boolean shared) throws IOException {
			return this.real.tryLock(position, size, shared);
		}

		@Override
		protected void implCloseChannel() throws IOException {
			this.real.close();
		}

	}

}

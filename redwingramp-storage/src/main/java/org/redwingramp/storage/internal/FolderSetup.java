package org.redwingramp.storage.internal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.storage.StorageException;

/**
 * Creates, identifies and clears data folders. Invariant: the identity is written last
 * and moved away first, so a folder with an identity is complete. Not thread safe.
 *
 * @param files the file operations
 * @param layout the file names
 */
record FolderSetup(StoreFiles files, StoreLayout layout) {

	private static final int FIRST_SEGMENT = 1;

	ReplicaId identify(String name, RandomGenerator random) throws IOException, StorageException {
		List<String> names = this.files.list(this.layout.folder());
		if (names.contains(StoreLayout.IDENTITY)) {
			return readIdentity(name);
		}
		checkUnused(names);
		return create(name, random);
	}

	private ReplicaId readIdentity(String name) throws IOException, StorageException {
		Path file = this.layout.identity();
		Optional<Identity> identity = Identity.decode(this.files.read(file, Identity.MAX_BYTES));
		if (identity.isEmpty()) {
			throw StoreErrors.corrupt(file, 0, "the checksum doesn't match");
		}
		if (identity.get().version() != Formats.VERSION) {
			throw StoreErrors.wrongVersion(file, identity.get().version());
		}
		if (!identity.get().id().name().equals(name)) {
			throw StoreErrors.wrongReplica(file, identity.get().id(), name);
		}
		return identity.get().id();
	}

	private void checkUnused(List<String> names) throws IOException, StorageException {
		List<Long> segments = StoreLayout.segments(names);
		boolean snapshots = !StoreLayout.snapshots(names).isEmpty() || !StoreLayout.pendingSnapshots(names).isEmpty();
		boolean used = snapshots || segments.size() > 1;
		if (!used && !segments.isEmpty()) {
			byte[] data = this.files.read(this.layout.segment(segments.get(0)), StoreLimits.DEFAULT.largestSegment());
			used = SegmentHeader.decode(data)
				.filter((header) -> header.start().equals(LogState.EMPTY) && header.encode().size() == data.length)
				.isEmpty();
		}
		if (used) {
			throw StoreErrors.corrupt(this.layout.identity(), 0, "the file is missing although the folder holds state");
		}
	}

	ReplicaId create(String name, RandomGenerator random) throws IOException {
		ReplicaId id = new ReplicaId(name, random.nextLong());
		SegmentHeader header = new SegmentHeader(id, FIRST_SEGMENT, LogState.EMPTY);
		long size = SegmentWriter.create(this.files, this.layout, header);
		SegmentWriter.writeFile(this.files, this.layout.mark(), new SyncMark(FIRST_SEGMENT, size).encode());
		SegmentWriter.writeFile(this.files, this.layout.identity(), new Identity(Formats.VERSION, id).encode());
		return id;
	}

	/**
	 * Moves all files into a new subfolder.
	 * @throws IOException if a file can't be moved
	 */
	void moveAside() throws IOException {
		List<String> names = this.files.list(this.layout.folder());
		int number = 1;
		while (names.contains(StoreLayout.DAMAGED + number)) {
			number++;
		}
		Path aside = this.layout.folder().resolve(StoreLayout.DAMAGED + number);
		this.files.createFolder(aside);
		if (names.contains(StoreLayout.IDENTITY)) {
			this.files.rename(this.layout.identity(), aside.resolve(StoreLayout.IDENTITY));
			this.files.syncFolder(this.layout.folder());
		}
		for (String name : names) {
			boolean moved = name.equals(StoreLayout.IDENTITY) || name.equals(StoreLayout.LOCK)
					|| name.startsWith(StoreLayout.DAMAGED);
			if (!moved) {
				this.files.rename(this.layout.folder().resolve(name), aside.resolve(name));
			}
		}
		this.files.syncFolder(aside);
		this.files.syncFolder(this.layout.folder());
	}

}

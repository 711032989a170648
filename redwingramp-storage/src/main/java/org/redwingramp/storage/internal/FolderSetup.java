package org.redwingramp.storage.internal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.storage.StorageException;

/**
 * Initializes data folders, reads their identity and resets them. Invariant: the identity
 * file is written last and moved away first, so a folder that has one is complete. Not
 * thread safe.
 *
 * @param files the file operations
 * @param layout the paths of the files
 */
record FolderSetup(StoreFiles files, StoreLayout layout) {

	private static final int FIRST_SEGMENT = 1;

	ReplicaId readOrCreateIdentity(String name, RandomGenerator random) throws IOException, StorageException {
		List<String> names = this.files.list(this.layout.folder());
		if (names.contains(StoreLayout.IDENTITY)) {
			return readIdentity(name);
		}
		requireNoState(names);
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

	private void requireNoState(List<String> names) throws IOException, StorageException {
		List<Long> segments = StoreLayout.segmentNumbers(names);
		boolean snapshots = !StoreLayout.snapshotIndices(names).isEmpty()
				|| !StoreLayout.pendingSnapshotIndices(names).isEmpty();
		boolean hasState = snapshots || segments.size() > 1;
		if (!hasState && !segments.isEmpty()) {
			byte[] data = this.files.read(this.layout.segment(segments.get(0)), StoreLimits.DEFAULT.maxSegmentBytes());
			hasState = SegmentHeader.decode(data)
				.filter((header) -> header.start().equals(LogState.EMPTY)
						&& header.encode().encodedSize() == data.length)
				.isEmpty();
		}
		if (hasState) {
			throw StoreErrors.corrupt(this.layout.identity(), 0,
					"the file is missing, but the folder contains state of a replica");
		}
	}

	ReplicaId create(String name, RandomGenerator random) throws IOException {
		ReplicaId id = new ReplicaId(name, random.nextLong());
		SegmentHeader header = new SegmentHeader(id, FIRST_SEGMENT, LogState.EMPTY);
		long size = SegmentWriter.createSegment(this.files, this.layout, header);
		SegmentWriter.writeFileAtomically(this.files, this.layout.syncMark(),
				new SyncMark(FIRST_SEGMENT, size).encode());
		SegmentWriter.writeFileAtomically(this.files, this.layout.identity(),
				new Identity(Formats.VERSION, id).encode());
		return id;
	}

	/**
	 * Moves all files except the lock file into a new subfolder {@code damaged-N}.
	 * @throws IOException if a file can't be moved
	 */
	void moveFilesToDamagedFolder() throws IOException {
		List<String> names = this.files.list(this.layout.folder());
		int number = 1;
		while (names.contains(StoreLayout.DAMAGED_PREFIX + number)) {
			number++;
		}
		Path damaged = this.layout.folder().resolve(StoreLayout.DAMAGED_PREFIX + number);
		this.files.createFolder(damaged);
		if (names.contains(StoreLayout.IDENTITY)) {
			this.files.rename(this.layout.identity(), damaged.resolve(StoreLayout.IDENTITY));
			this.files.syncFolder(this.layout.folder());
		}
		for (String name : names) {
			boolean excluded = name.equals(StoreLayout.IDENTITY) || name.equals(StoreLayout.LOCK)
					|| name.startsWith(StoreLayout.DAMAGED_PREFIX);
			if (!excluded) {
				this.files.rename(this.layout.folder().resolve(name), damaged.resolve(name));
			}
		}
		this.files.syncFolder(damaged);
		this.files.syncFolder(this.layout.folder());
	}

}

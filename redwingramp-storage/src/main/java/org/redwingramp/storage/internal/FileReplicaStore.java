package org.redwingramp.storage.internal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.random.RandomGenerator;

import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.storage.StorageException;

/**
 * A replica store that consists of a segmented write-ahead log, one file per snapshot and
 * two sync marks, which hold the last position of the log that is known to be synced. Not
 * thread safe.
 */
public final class FileReplicaStore implements ReplicaStore {

	private final StoreFiles files;

	private final StoreLayout layout;

	private final StoreLimits limits;

	private final ReplicaId id;

	private final Closeable lock;

	private final SortedMap<Long, Long> highestIndexBySegment;

	private final SegmentWriter writer;

	private LogState logState;

	private StoredState recoveredState;

	private boolean usable = true;

	private FileReplicaStore(StoreFiles files, StoreLayout layout, StoreLimits limits, Closeable lock,
			Recovery.Result recovered) throws IOException {
		this.files = files;
		this.layout = layout;
		this.limits = limits;
		this.lock = lock;
		this.id = recovered.state().id();
		this.recoveredState = recovered.state();
		this.logState = recovered.logState();
		this.highestIndexBySegment = recovered.highestIndexBySegment();
		this.writer = new SegmentWriter(files, layout, this.highestIndexBySegment.lastKey(), recovered.endOffset());
		try {
			this.writer.repairTail(recovered.tornTail());
			compact();
		}
		catch (IOException ex) {
			closeFiles();
			throw ex;
		}
	}

	/**
	 * Opens a data folder with the given file operations and limits.
	 * @param folder the data folder
	 * @param name the replica's name
	 * @param random generates the incarnation of a new folder
	 * @param files the file operations
	 * @param limits the size limits
	 * @return the store
	 * @throws StorageException if the folder can't be used
	 * @see ReplicaStore#open
	 */
	public static FileReplicaStore open(Path folder, String name, RandomGenerator random, StoreFiles files,
			StoreLimits limits) throws StorageException {
		return open(folder, files, limits, (setup) -> setup.readOrCreateIdentity(name, random));
	}

	/**
	 * Moves the files of a damaged folder into a subfolder and opens an empty store.
	 * @param folder the data folder
	 * @param name the replica's name
	 * @param random generates the new incarnation
	 * @param files the file operations
	 * @param limits the size limits
	 * @return the store
	 * @throws StorageException if the folder can't be used
	 * @see ReplicaStore#reset
	 */
	public static FileReplicaStore reset(Path folder, String name, RandomGenerator random, StoreFiles files,
			StoreLimits limits) throws StorageException {
		return open(folder, files, limits, (setup) -> {
			setup.moveFilesToDamagedFolder();
			return setup.create(name, random);
		});
	}

	private static FileReplicaStore open(Path folder, StoreFiles files, StoreLimits limits,
			IdentityProvider identityProvider) throws StorageException {
		StoreLayout layout = new StoreLayout(folder);
		Closeable lock = null;
		try {
			files.createFolder(folder);
			lock = files.tryLock(layout.lock());
			if (lock == null) {
				throw StoreErrors.folderInUse(layout.lock());
			}
			ReplicaId id = identityProvider.identity(new FolderSetup(files, layout));
			Recovery.Result recovered = new Recovery(files, layout, limits, id).run();
			return new FileReplicaStore(files, layout, limits, lock, recovered);
		}
		catch (IOException ex) {
			release(lock);
			throw StoreErrors.openFailed(folder, ex);
		}
		catch (StorageException ex) {
			release(lock);
			throw ex;
		}
	}

	@Override
	public StoredState load() {
		if (this.recoveredState == null) {
			throw new IllegalStateException("load() must be called before the first persist()");
		}
		return this.recoveredState;
	}

	@Override
	public void persist(PersistBatch batch) throws StorageException {
		if (!this.usable) {
			throw StoreErrors.storeUnusable(this.layout.folder());
		}
		this.usable = false;
		this.recoveredState = null;
		StoredBatch stored = StoredBatch.of(this.logState.sequence() + 1, batch);
		String inconsistency = this.logState.inconsistency(stored).orElse("");
		if (!inconsistency.isEmpty()) {
			throw StoreErrors.inconsistentBatch(this.layout.folder(), inconsistency);
		}
		try {
			write(stored, batch);
			this.usable = true;
		}
		catch (IOException ex) {
			throw StoreErrors.writeFailed(this.layout.folder(), ex);
		}
	}

	private void write(StoredBatch stored, PersistBatch batch) throws IOException, StorageException {
		Frame frame = stored.encode();
		if (frame.encodedSize() > this.limits.maxBatchBytes()) {
			throw StoreErrors.tooLarge(this.layout.folder(), "batch", frame.encodedSize(), this.limits.maxBatchBytes());
		}
		if (batch.snapshot().isPresent()) {
			writeSnapshot(batch.snapshot().get());
		}
		if (batch.snapshot().isPresent() || this.writer.endOffset() > this.limits.segmentRollBytes()) {
			this.writer.roll(this.id, this.logState);
			this.highestIndexBySegment.put(this.writer.segmentNumber(), 0L);
		}
		this.writer.append(frame);
		this.highestIndexBySegment.merge(this.writer.segmentNumber(), Recovery.highestIndex(stored), Math::max);
		this.logState = this.logState.after(stored);
		if (batch.snapshot().isPresent()) {
			compact();
		}
	}

	private void writeSnapshot(Snapshot snapshot) throws IOException, StorageException {
		Frame frame = new Frame(Frame.Type.SNAPSHOT, Formats.encodeSnapshot(this.id, snapshot));
		if (frame.encodedSize() > this.limits.maxSnapshotBytes()) {
			throw StoreErrors.tooLarge(this.layout.folder(), "snapshot", frame.encodedSize(),
					this.limits.maxSnapshotBytes());
		}
		SegmentWriter.writeFileAtomically(this.files, this.layout.pendingSnapshot(snapshot.index()), frame);
	}

	/**
	 * Gives the current snapshot its final name, then deletes the segments and snapshots
	 * that it replaces and leftover temporary files. The oldest segment is deleted first,
	 * and each deletion is synced before the next, since a power loss may undo any of the
	 * deletions that aren't synced. So there is never a gap between segments.
	 */
	private void compact() throws IOException {
		List<String> names = this.files.list(this.layout.folder());
		long current = this.logState.snapshot().index();
		if (StoreLayout.pendingSnapshotIndices(names).contains(current)) {
			this.files.rename(this.layout.pendingSnapshot(current), this.layout.snapshot(current));
			this.files.syncFolder(this.layout.folder());
		}
		this.writer.writeDurableMark();
		while (this.highestIndexBySegment.size() > 1
				&& this.highestIndexBySegment.get(this.highestIndexBySegment.firstKey()) <= current) {
			this.files.delete(this.layout.segment(this.highestIndexBySegment.firstKey()));
			this.files.syncFolder(this.layout.folder());
			this.highestIndexBySegment.remove(this.highestIndexBySegment.firstKey());
		}
		for (long index : StoreLayout.snapshotIndices(names)) {
			if (index != current) {
				this.files.delete(this.layout.snapshot(index));
			}
		}
		for (long index : StoreLayout.pendingSnapshotIndices(names)) {
			if (index != current) {
				this.files.delete(this.layout.pendingSnapshot(index));
			}
		}
		for (String name : names) {
			if (name.endsWith(StoreLayout.TEMPORARY_SUFFIX)) {
				this.files.delete(this.layout.folder().resolve(name));
			}
		}
		this.files.syncFolder(this.layout.folder());
	}

	@Override
	public void close() {
		this.usable = false;
		closeFiles();
		release(this.lock);
	}

	private void closeFiles() {
		try {
			this.writer.close();
		}
		catch (IOException ex) {
			// Every acknowledged batch is already synced, so no state is lost here.
		}
	}

	private static void release(Closeable lock) {
		if (lock != null) {
			try {
				lock.close();
			}
			catch (IOException ex) {
				// The operating system releases the lock when the process ends.
			}
		}
	}

	/** Reads or creates the identity of a data folder. */
	private interface IdentityProvider {

		ReplicaId identity(FolderSetup setup) throws IOException, StorageException;

	}

}

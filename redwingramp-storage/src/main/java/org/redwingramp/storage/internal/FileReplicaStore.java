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
 * A store in files: a log of segments, snapshots in files of their own, and a mark of
 * what is synced. Not thread safe.
 */
public final class FileReplicaStore implements ReplicaStore {

	private final StoreFiles files;

	private final StoreLayout layout;

	private final StoreLimits limits;

	private final ReplicaId id;

	private final Closeable lock;

	private final SortedMap<Long, Long> segments;

	private final SegmentWriter writer;

	private LogState log;

	private StoredState found;

	private boolean usable = true;

	private FileReplicaStore(StoreFiles files, StoreLayout layout, StoreLimits limits, Closeable lock,
			Recovery.Result recovered) throws IOException {
		this.files = files;
		this.layout = layout;
		this.limits = limits;
		this.lock = lock;
		this.id = recovered.state().id();
		this.found = recovered.state();
		this.log = recovered.log();
		this.segments = recovered.segments();
		this.writer = new SegmentWriter(files, layout, this.segments.lastKey(), recovered.end());
		try {
			this.writer.settle(recovered.torn());
			clean();
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
	 * @param random the source of a new incarnation
	 * @param files the file operations
	 * @param limits the limits
	 * @return the store
	 * @throws StorageException if the folder can't be used
	 * @see ReplicaStore#open
	 */
	public static FileReplicaStore open(Path folder, String name, RandomGenerator random, StoreFiles files,
			StoreLimits limits) throws StorageException {
		return open(folder, files, limits, (setup) -> setup.identify(name, random));
	}

	/**
	 * Moves the files of a damaged folder aside and opens an empty store.
	 * @param folder the data folder
	 * @param name the replica's name
	 * @param random the source of the new incarnation
	 * @param files the file operations
	 * @param limits the limits
	 * @return the store
	 * @throws StorageException if the folder can't be used
	 * @see ReplicaStore#reset
	 */
	public static FileReplicaStore reset(Path folder, String name, RandomGenerator random, StoreFiles files,
			StoreLimits limits) throws StorageException {
		return open(folder, files, limits, (setup) -> {
			setup.moveAside();
			return setup.create(name, random);
		});
	}

	private static FileReplicaStore open(Path folder, StoreFiles files, StoreLimits limits, Preparation preparation)
			throws StorageException {
		StoreLayout layout = new StoreLayout(folder);
		Closeable lock = null;
		try {
			files.createFolder(folder);
			lock = files.lock(layout.lock());
			if (lock == null) {
				throw StoreErrors.inUse(layout.lock());
			}
			ReplicaId id = preparation.prepare(new FolderSetup(files, layout));
			Recovery.Result recovered = new Recovery(files, layout, limits, id).run();
			return new FileReplicaStore(files, layout, limits, lock, recovered);
		}
		catch (IOException ex) {
			release(lock);
			throw StoreErrors.unreadable(folder, ex);
		}
		catch (StorageException ex) {
			release(lock);
			throw ex;
		}
	}

	@Override
	public StoredState load() {
		if (this.found == null) {
			throw new IllegalStateException("load() must be called before the first persist()");
		}
		return this.found;
	}

	@Override
	public void persist(PersistBatch batch) throws StorageException {
		if (!this.usable) {
			throw StoreErrors.unusable(this.layout.folder());
		}
		this.usable = false;
		this.found = null;
		StoredBatch stored = StoredBatch.of(this.log.sequence() + 1, batch);
		String problem = this.log.problem(stored).orElse("");
		if (!problem.isEmpty()) {
			throw StoreErrors.misfit(this.layout.folder(), problem);
		}
		try {
			write(stored, batch);
			this.usable = true;
		}
		catch (IOException ex) {
			throw StoreErrors.unwritable(this.layout.folder(), ex);
		}
	}

	private void write(StoredBatch stored, PersistBatch batch) throws IOException, StorageException {
		Block block = stored.encode();
		if (block.size() > this.limits.frame()) {
			throw StoreErrors.tooLarge(this.layout.folder(), "batch", block.size(), this.limits.frame());
		}
		if (batch.snapshot().isPresent()) {
			writeSnapshot(batch.snapshot().get());
		}
		if (batch.snapshot().isPresent() || this.writer.offset() > this.limits.segment()) {
			this.writer.roll(this.id, this.log);
			this.segments.put(this.writer.number(), 0L);
		}
		this.writer.append(block);
		this.segments.merge(this.writer.number(), Recovery.highestIndex(stored), Math::max);
		this.log = this.log.after(stored);
		if (batch.snapshot().isPresent()) {
			clean();
		}
	}

	private void writeSnapshot(Snapshot snapshot) throws IOException, StorageException {
		Block block = new Block(Block.Type.SNAPSHOT, Formats.encodeSnapshot(this.id, snapshot));
		if (block.size() > this.limits.snapshot()) {
			throw StoreErrors.tooLarge(this.layout.folder(), "snapshot", block.size(), this.limits.snapshot());
		}
		SegmentWriter.writeFile(this.files, this.layout.pendingSnapshot(snapshot.index()), block);
	}

	/**
	 * Gives the snapshot in force its final name and deletes what it replaces: first the
	 * oldest segment, so that no segment in the middle is ever missing.
	 */
	private void clean() throws IOException {
		List<String> names = this.files.list(this.layout.folder());
		long current = this.log.snapshot().index();
		if (StoreLayout.pendingSnapshots(names).contains(current)) {
			this.files.rename(this.layout.pendingSnapshot(current), this.layout.snapshot(current));
			this.files.syncFolder(this.layout.folder());
		}
		this.writer.syncMark();
		while (this.segments.size() > 1 && this.segments.get(this.segments.firstKey()) <= current) {
			this.files.delete(this.layout.segment(this.segments.firstKey()));
			this.segments.remove(this.segments.firstKey());
		}
		for (long index : StoreLayout.snapshots(names)) {
			if (index != current) {
				this.files.delete(this.layout.snapshot(index));
			}
		}
		for (long index : StoreLayout.pendingSnapshots(names)) {
			if (index != current) {
				this.files.delete(this.layout.pendingSnapshot(index));
			}
		}
		for (String name : names) {
			if (name.endsWith(StoreLayout.TEMPORARY)) {
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
			// All that was acknowledged is synced, so a failure here loses nothing.
		}
	}

	private static void release(Closeable lock) {
		if (lock != null) {
			try {
				lock.close();
			}
			catch (IOException ex) {
				// The lock ends with the process.
			}
		}
	}

	/** Finds or creates the identity of a data folder. */
	private interface Preparation {

		ReplicaId prepare(FolderSetup setup) throws IOException, StorageException;

	}

}

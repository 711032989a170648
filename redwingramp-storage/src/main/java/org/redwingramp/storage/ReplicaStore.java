package org.redwingramp.storage;

import java.nio.file.Path;
import java.util.random.RandomGenerator;

import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.internal.DiskFiles;
import org.redwingramp.storage.internal.FileReplicaStore;
import org.redwingramp.storage.internal.StoreLimits;

/**
 * The durable state of one control replica in one data folder: its log, its snapshot, its
 * term and its vote.
 *
 * <p>
 * Invariants: a batch is stored atomically; a batch for which {@link #persist} returned
 * is recovered by {@link #open}, or {@code open} throws; a partially written batch is
 * never read as state; at most one process uses a data folder. After a failed write or
 * sync the store rejects further use, since the state of the disk is unknown until the
 * folder is opened again. Not thread safe; one thread owns it.
 */
public interface ReplicaStore extends AutoCloseable {

	/**
	 * Opens a data folder and recovers its state. A folder that doesn't exist or is empty
	 * is initialized. A torn write at the end of the log, which was never acknowledged,
	 * is truncated.
	 * @param dataFolder the data folder
	 * @param replicaName the replica's name from its settings
	 * @param random generates the incarnation of a new folder
	 * @return the store, which holds the lock on the folder until it is closed
	 * @throws CorruptStorageException if acknowledged state is damaged or missing
	 * @throws StorageException if the folder is in use, belongs to another replica, has
	 * an unsupported format version or can't be read or written
	 */
	static ReplicaStore open(Path dataFolder, String replicaName, RandomGenerator random) throws StorageException {
		return FileReplicaStore.open(dataFolder, replicaName, random, new DiskFiles(), StoreLimits.DEFAULT);
	}

	/**
	 * Moves all files of a damaged data folder into a subfolder {@code damaged-N} and
	 * opens an empty store under a new incarnation.
	 * @param dataFolder the data folder
	 * @param replicaName the replica's name from its settings
	 * @param random generates the new incarnation
	 * @return the empty store
	 * @throws StorageException if the folder is in use or can't be read or written
	 */
	static ReplicaStore reset(Path dataFolder, String replicaName, RandomGenerator random) throws StorageException {
		return FileReplicaStore.reset(dataFolder, replicaName, random, new DiskFiles(), StoreLimits.DEFAULT);
	}

	/**
	 * Returns the state that was recovered when the store was opened.
	 * @return the recovered state
	 * @throws IllegalStateException if a batch has been persisted since the store was
	 * opened, because the recovered state is then no longer kept in memory
	 */
	StoredState load();

	/**
	 * Stores a batch atomically, in the order snapshot, truncation, entries, hard state.
	 * Returns only once it is synced to the disk.
	 * @param batch the batch; its entries must continue the log without a gap
	 * @throws StorageException if the batch is inconsistent with the stored state or
	 * can't be written; the store can't be used afterwards
	 */
	void persist(PersistBatch batch) throws StorageException;

	/**
	 * Closes the files and releases the lock on the folder. Persisted state is kept.
	 */
	@Override
	void close();

}

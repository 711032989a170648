package org.redwingramp.storage;

import java.nio.file.Path;
import java.util.random.RandomGenerator;

import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.internal.DiskFiles;
import org.redwingramp.storage.internal.FileReplicaStore;
import org.redwingramp.storage.internal.StoreLimits;

/**
 * The durable state of one replica in one data folder.
 *
 * <p>
 * Invariants: a batch is stored as a whole or not at all; what {@link #persist} returned
 * for is found again by {@link #open}, or {@code open} throws; nothing half-written is
 * ever read as state; only one process uses a data folder. After a failed write or sync
 * the store refuses further use, since the state of the disk is unknown until the folder
 * is opened again. Not thread safe; one thread owns it.
 */
public interface ReplicaStore extends AutoCloseable {

	/**
	 * Opens a data folder and creates it if it is new or empty. A torn tail of the log
	 * that was never acknowledged is removed.
	 * @param dataFolder the data folder
	 * @param replicaName the replica's name from its settings
	 * @param random the source of the incarnation of a new folder
	 * @return the store, which owns the folder until it is closed
	 * @throws CorruptStorageException if acknowledged state is damaged or missing
	 * @throws StorageException if the folder is in use, belongs to another replica, has
	 * another format version or can't be read or written
	 */
	static ReplicaStore open(Path dataFolder, String replicaName, RandomGenerator random) throws StorageException {
		return FileReplicaStore.open(dataFolder, replicaName, random, new DiskFiles(), StoreLimits.DEFAULT);
	}

	/**
	 * Moves all files of a damaged data folder into a subfolder {@code damaged-N} and
	 * starts with empty state under a new incarnation.
	 * @param dataFolder the data folder
	 * @param replicaName the replica's name from its settings
	 * @param random the source of the new incarnation
	 * @return the empty store
	 * @throws StorageException if the folder is in use or can't be read or written
	 */
	static ReplicaStore reset(Path dataFolder, String replicaName, RandomGenerator random) throws StorageException {
		return FileReplicaStore.reset(dataFolder, replicaName, random, new DiskFiles(), StoreLimits.DEFAULT);
	}

	/**
	 * Returns the state that was found at opening.
	 * @return the state
	 * @throws IllegalStateException if a batch was persisted since, because the state
	 * found at opening is no longer kept then
	 */
	StoredState load();

	/**
	 * Stores a batch: snapshot, truncation, entries, hard state. Returns only once it is
	 * synced to the disk.
	 * @param batch the batch; its entries must follow the last stored entry without a gap
	 * @throws StorageException if the batch doesn't fit the stored state or can't be
	 * written; the store can't be used afterwards
	 */
	void persist(PersistBatch batch) throws StorageException;

	/**
	 * Closes the files and lets go of the folder. State that was persisted stays.
	 */
	@Override
	void close();

}

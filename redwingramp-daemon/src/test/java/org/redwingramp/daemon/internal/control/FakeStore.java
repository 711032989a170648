package org.redwingramp.daemon.internal.control;

import java.util.ArrayList;
import java.util.List;

import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.storage.StorageException;

/**
 * A store in memory that writes what it does into a shared list and can fail.
 */
final class FakeStore implements ReplicaStore {

	private final List<String> log;

	private final ReplicaId id;

	private final List<PersistBatch> batches = new ArrayList<>();

	private volatile boolean failing;

	FakeStore(ReplicaId id, List<String> log) {
		this.id = id;
		this.log = log;
	}

	void fail() {
		this.failing = true;
	}

	@Override
	public StoredState load() {
		return StoredState.empty(this.id);
	}

	@Override
	public void persist(PersistBatch batch) throws StorageException {
		if (this.failing) {
			throw new StorageException("the fake store was told to fail");
		}
		this.batches.add(batch);
		this.log.add("persisted");
	}

	@Override
	public void close() {
		this.log.add("closed");
	}

}

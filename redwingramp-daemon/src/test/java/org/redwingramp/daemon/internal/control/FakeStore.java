package org.redwingramp.daemon.internal.control;

import java.util.ArrayList;
import java.util.List;

import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.storage.StorageException;

/**
 * An in-memory store that records its operations in a list shared with the test and can
 * be made to fail.
 */
final class FakeStore implements ReplicaStore {

	private final List<String> events;

	private final ReplicaId id;

	private final List<PersistBatch> batches = new ArrayList<>();

	private volatile boolean failing;

	FakeStore(ReplicaId id, List<String> events) {
		this.id = id;
		this.events = events;
	}

	void failPersist() {
		this.failing = true;
	}

	@Override
	public StoredState load() {
		return StoredState.empty(this.id);
	}

	@Override
	public void persist(PersistBatch batch) throws StorageException {
		if (this.failing) {
			throw new StorageException("simulated failure of the fake store");
		}
		this.batches.add(batch);
		this.events.add("persisted");
	}

	@Override
	public void close() {
		this.events.add("closed");
	}

}

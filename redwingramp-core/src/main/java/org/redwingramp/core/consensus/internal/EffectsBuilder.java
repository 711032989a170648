package org.redwingramp.core.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Outbound;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ProposalResult;
import org.redwingramp.core.consensus.ReplicaEffects;
import org.redwingramp.core.consensus.Snapshot;

/**
 * Collects the effects of one event and builds {@link ReplicaEffects} from them. Not
 * thread safe.
 */
final class EffectsBuilder {

	private Optional<HardState> hardState = Optional.empty();

	private Optional<Snapshot> snapshot = Optional.empty();

	private Optional<Snapshot> install = Optional.empty();

	private long truncateFrom;

	private final List<LogEntry> appended = new ArrayList<>();

	private final List<Outbound> messages = new ArrayList<>();

	private final List<LogEntry> committed = new ArrayList<>();

	private final List<ProposalResult> results = new ArrayList<>();

	void persistHardState(HardState state) {
		this.hardState = Optional.of(state);
	}

	void persistSnapshot(Snapshot made) {
		this.snapshot = Optional.of(made);
	}

	void installSnapshot(Snapshot received) {
		this.install = Optional.of(received);
	}

	void truncateFrom(long index) {
		this.truncateFrom = index;
	}

	void append(LogEntry entry) {
		this.appended.add(entry);
	}

	void send(Outbound message) {
		this.messages.add(message);
	}

	void commit(List<LogEntry> entries) {
		this.committed.addAll(entries);
	}

	void result(ProposalResult result) {
		this.results.add(result);
	}

	boolean hasLogChanges() {
		return this.snapshot.isPresent() || this.truncateFrom > 0 || !this.appended.isEmpty();
	}

	boolean hasPersistentChanges() {
		return this.hardState.isPresent() || hasLogChanges();
	}

	ReplicaEffects build(long batch) {
		Optional<PersistBatch> persist = (hasPersistentChanges())
				? Optional.of(new PersistBatch(batch, this.hardState, this.snapshot, this.truncateFrom, this.appended))
				: Optional.empty();
		return new ReplicaEffects(persist, this.messages, this.install, this.committed, this.results);
	}

}

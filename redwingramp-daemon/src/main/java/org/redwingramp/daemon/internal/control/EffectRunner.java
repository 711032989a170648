package org.redwingramp.daemon.internal.control;

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
 * Gathers the effects of several events, so that one sync serves them all. Not thread
 * safe; the control loop owns it.
 *
 * <p>
 * Invariant: nothing that was gathered is sent or applied before {@link #persistAll} has
 * returned for it.
 */
final class EffectRunner {

	private final List<PersistBatch> batches = new ArrayList<>();

	private final List<Outbound> messages = new ArrayList<>();

	private final List<Object> toApply = new ArrayList<>();

	private final List<ProposalResult> results = new ArrayList<>();

	void gather(ReplicaEffects effects) {
		effects.persist().ifPresent(this.batches::add);
		this.messages.addAll(effects.messages());
		effects.snapshotToInstall().ifPresent(this.toApply::add);
		this.toApply.addAll(effects.committed());
		this.results.addAll(effects.results());
	}

	boolean empty() {
		return this.batches.isEmpty() && this.messages.isEmpty() && this.toApply.isEmpty() && this.results.isEmpty();
	}

	/**
	 * Returns the gathered batches, joined where that keeps their meaning.
	 * @return the batches in order
	 */
	List<PersistBatch> takeBatches() {
		List<PersistBatch> joined = new ArrayList<>();
		for (PersistBatch batch : this.batches) {
			int last = joined.size() - 1;
			if (last >= 0 && joinable(batch)) {
				joined.set(last, join(joined.get(last), batch));
			}
			else {
				joined.add(batch);
			}
		}
		this.batches.clear();
		return joined;
	}

	List<Outbound> takeMessages() {
		List<Outbound> taken = List.copyOf(this.messages);
		this.messages.clear();
		return taken;
	}

	/**
	 * Returns what is to be applied.
	 * @return snapshots and entries in order
	 */
	List<Object> takeToApply() {
		List<Object> taken = List.copyOf(this.toApply);
		this.toApply.clear();
		return taken;
	}

	List<ProposalResult> takeResults() {
		List<ProposalResult> taken = List.copyOf(this.results);
		this.results.clear();
		return taken;
	}

	private static boolean joinable(PersistBatch batch) {
		return batch.snapshot().isEmpty() && batch.truncateFrom() == 0;
	}

	private static PersistBatch join(PersistBatch first, PersistBatch second) {
		List<LogEntry> entries = new ArrayList<>(first.entries());
		entries.addAll(second.entries());
		Optional<HardState> hardState = second.hardState().or(first::hardState);
		Optional<Snapshot> snapshot = first.snapshot();
		return new PersistBatch(second.number(), hardState, snapshot, first.truncateFrom(), entries);
	}

}

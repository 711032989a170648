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
 * Buffers the effects of several replica events, so that one disk sync covers all of
 * them. Not thread safe; owned by the control loop.
 *
 * <p>
 * Invariant: the owner persists the batches from {@link #takeBatches} before it sends the
 * messages or applies the items that were buffered with them.
 */
final class EffectBuffer {

	private final List<PersistBatch> batches = new ArrayList<>();

	private final List<Outbound> messages = new ArrayList<>();

	private final List<Object> itemsToApply = new ArrayList<>();

	private final List<ProposalResult> results = new ArrayList<>();

	void collect(ReplicaEffects effects) {
		effects.persist().ifPresent(this.batches::add);
		this.messages.addAll(effects.messages());
		effects.snapshotToInstall().ifPresent(this.itemsToApply::add);
		this.itemsToApply.addAll(effects.committed());
		this.results.addAll(effects.results());
	}

	boolean isEmpty() {
		return this.batches.isEmpty() && this.messages.isEmpty() && this.itemsToApply.isEmpty()
				&& this.results.isEmpty();
	}

	/**
	 * Removes and returns the buffered batches. A batch that only appends entries is
	 * merged into the batch before it.
	 * @return the batches in order
	 */
	List<PersistBatch> takeBatches() {
		List<PersistBatch> merged = new ArrayList<>();
		for (PersistBatch batch : this.batches) {
			int last = merged.size() - 1;
			if (last >= 0 && mergeable(batch)) {
				merged.set(last, merge(merged.get(last), batch));
			}
			else {
				merged.add(batch);
			}
		}
		this.batches.clear();
		return merged;
	}

	List<Outbound> takeMessages() {
		List<Outbound> taken = List.copyOf(this.messages);
		this.messages.clear();
		return taken;
	}

	/**
	 * Removes and returns the snapshots to install and the committed entries to apply.
	 * @return the snapshots and entries in order
	 */
	List<Object> takeItemsToApply() {
		List<Object> taken = List.copyOf(this.itemsToApply);
		this.itemsToApply.clear();
		return taken;
	}

	List<ProposalResult> takeResults() {
		List<ProposalResult> taken = List.copyOf(this.results);
		this.results.clear();
		return taken;
	}

	private static boolean mergeable(PersistBatch batch) {
		return batch.snapshot().isEmpty() && batch.truncateFrom() == 0;
	}

	private static PersistBatch merge(PersistBatch first, PersistBatch second) {
		List<LogEntry> entries = new ArrayList<>(first.entries());
		entries.addAll(second.entries());
		Optional<HardState> hardState = second.hardState().or(first::hardState);
		Optional<Snapshot> snapshot = first.snapshot();
		return new PersistBatch(second.number(), hardState, snapshot, first.truncateFrom(), entries);
	}

}

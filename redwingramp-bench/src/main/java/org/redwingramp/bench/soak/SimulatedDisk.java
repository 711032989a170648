package org.redwingramp.bench.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.consensus.StoredState;

/**
 * A disk that keeps synced batches. After a crash, a random prefix of the unsynced write
 * steps survives. Not thread safe.
 */
final class SimulatedDisk {

	private final ReplicaId id;

	private final Deque<Unsynced> unsynced = new ArrayDeque<>();

	private final TreeMap<Long, LogEntry> entries = new TreeMap<>();

	private HardState hardState = HardState.EMPTY;

	private Optional<Snapshot> snapshot = Optional.empty();

	SimulatedDisk(ReplicaId id) {
		this.id = id;
	}

	ReplicaId id() {
		return this.id;
	}

	void write(PersistBatch batch) {
		this.unsynced.add(new Unsynced(batch.number(), steps(batch)));
	}

	void sync(long batch) {
		while (!this.unsynced.isEmpty() && this.unsynced.peek().batch() <= batch) {
			this.unsynced.remove().steps().forEach(Runnable::run);
		}
	}

	// Returns the number of write steps that were lost.
	int crash(Random random) {
		List<Runnable> steps = new ArrayList<>();
		this.unsynced.forEach((batch) -> steps.addAll(batch.steps()));
		this.unsynced.clear();
		int kept = random.nextInt(steps.size() + 1);
		steps.subList(0, kept).forEach(Runnable::run);
		return steps.size() - kept;
	}

	StoredState stored() {
		return new StoredState(this.id, this.hardState, this.snapshot, List.copyOf(this.entries.values()));
	}

	// Returns the highest index at which the logs differ although they share a later
	// entry, or at which entries of the same term have different payloads; 0 if there is
	// none.
	long mismatch(SimulatedDisk other) {
		List<Long> shared = this.entries.keySet().stream().filter(other.entries::containsKey).toList();
		boolean matchAbove = false;
		for (int i = shared.size() - 1; i >= 0; i--) {
			LogEntry one = this.entries.get(shared.get(i));
			LogEntry two = other.entries.get(shared.get(i));
			boolean same = one.term() == two.term();
			if ((matchAbove && !same) || (same && !Arrays.equals(one.payload(), two.payload()))) {
				return shared.get(i);
			}
			matchAbove |= same;
		}
		return 0;
	}

	private List<Runnable> steps(PersistBatch batch) {
		List<Runnable> steps = new ArrayList<>();
		batch.snapshot().ifPresent((made) -> steps.add(() -> {
			this.snapshot = Optional.of(made);
			this.entries.headMap(made.index(), true).clear();
		}));
		if (batch.truncateFrom() > 0) {
			steps.add(() -> this.entries.tailMap(batch.truncateFrom(), true).clear());
		}
		batch.entries().forEach((entry) -> steps.add(() -> this.entries.put(entry.index(), entry)));
		batch.hardState().ifPresent((state) -> steps.add(() -> this.hardState = state));
		return steps;
	}

	private record Unsynced(long batch, List<Runnable> steps) {
	}

}

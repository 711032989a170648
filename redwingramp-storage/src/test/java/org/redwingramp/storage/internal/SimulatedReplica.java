package org.redwingramp.storage.internal;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Outbound;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.Replica;
import org.redwingramp.core.consensus.ReplicaEffects;
import org.redwingramp.core.consensus.ReplicaEvent;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Replicas;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.storage.CorruptStorageException;
import org.redwingramp.storage.StorageException;

/**
 * A replica with its real store on a simulated disk. Its state machine is the list of the
 * commands that were applied. Each batch takes some time until it is synced, and nothing
 * is sent or applied before that. Not thread safe.
 */
final class SimulatedReplica {

	private static final Path FOLDER = Path.of("data");

	/** Limits so small that the log rolls over and is compacted often. */
	private static final StoreLimits LIMITS = new StoreLimits(400, 100_000, 100_000);

	private static final int COMPACT_AFTER_ENTRIES = 12;

	/** A batch with a snapshot takes about as many changes of the disk. */
	private static final int MOST_CHANGES_PER_BATCH = 40;

	private final Random random;

	private final MemoryFiles disk;

	private final FileReplicaStore store;

	private final Replica replica;

	private final List<String> applied = new ArrayList<>();

	private final List<Outbound> outbox = new ArrayList<>();

	private final Deque<ReplicaEffects> pendingEffects = new ArrayDeque<>();

	private long appliedIndex;

	private int entriesSinceCompaction;

	private long syncedAtNanos;

	private long slowestSyncNanos = 3_000_000;

	private SimulatedReplica(MemoryFiles disk, FileReplicaStore store, List<String> founders, int voters,
			Random random) {
		this.random = random;
		this.disk = disk;
		this.store = store;
		this.replica = Replicas.createOpen(store.load(), founders, voters, ConsensusTiming.DEFAULT, random);
	}

	// Starts a replica. Like a control replica, it starts empty if its disk is damaged,
	// so the test must count each damaged disk as lost.
	static SimulatedReplica start(String name, MemoryFiles disk, List<String> founders, int voters, Random random)
			throws StorageException {
		try {
			FileReplicaStore store = FileReplicaStore.open(FOLDER, name, random, disk, LIMITS);
			return new SimulatedReplica(disk, store, founders, voters, random);
		}
		catch (CorruptStorageException ex) {
			throw new AssertionError("replica " + name + " would discard its state", ex);
		}
	}

	ReplicaId id() {
		return this.replica.id();
	}

	Replica replica() {
		return this.replica;
	}

	List<String> applied() {
		return this.applied;
	}

	long appliedIndex() {
		return this.appliedIndex;
	}

	void slowDisk(long nanos) {
		this.slowestSyncNanos = nanos;
	}

	// Returns whether a snapshot is being written.
	boolean compacting() {
		return Optional.ofNullable(this.pendingEffects.peek())
			.flatMap(ReplicaEffects::persist)
			.flatMap(PersistBatch::snapshot)
			.isPresent();
	}

	// Returns the messages that were sent since the last call.
	List<Outbound> takeOutbox() {
		List<Outbound> taken = List.copyOf(this.outbox);
		this.outbox.clear();
		return taken;
	}

	void handle(ReplicaEvent event, long now) throws StorageException {
		ReplicaEffects effects = this.replica.handle(event, now);
		if (effects != ReplicaEffects.NONE) {
			this.pendingEffects.add(effects);
			if (this.pendingEffects.size() == 1) {
				startSync(now);
			}
			run(now);
		}
	}

	// Executes the effects whose batches are synced by now.
	void run(long now) throws StorageException {
		while (!this.pendingEffects.isEmpty() && now >= this.syncedAtNanos) {
			ReplicaEffects effects = this.pendingEffects.peek();
			if (effects.persist().isPresent()) {
				this.store.persist(effects.persist().get());
			}
			this.pendingEffects.remove();
			startSync(now);
			execute(effects);
			if (effects.persist().isPresent()) {
				handle(new ReplicaEvent.Persisted(effects.persist().get().number()), now);
			}
		}
		if (this.entriesSinceCompaction >= COMPACT_AFTER_ENTRIES && this.pendingEffects.isEmpty()) {
			this.entriesSinceCompaction = 0;
			handle(new ReplicaEvent.Compact(this.appliedIndex, encode(this.applied)), now);
		}
	}

	// Returns the disk as a power loss leaves it, possibly in the middle of a write.
	MemoryFiles losePower() {
		Optional<PersistBatch> running = Optional.ofNullable(this.pendingEffects.peek())
			.flatMap(ReplicaEffects::persist);
		if (running.isPresent()) {
			this.disk.failFrom(this.disk.changes() + 1 + this.random.nextInt(MOST_CHANGES_PER_BATCH));
			try {
				this.store.persist(running.get());
			}
			catch (StorageException ex) {
				// The power loss interrupted the write.
			}
		}
		return (this.random.nextInt(3) == 0) ? this.disk.withoutUnsyncedChanges()
				: this.disk.afterPowerLoss(this.random);
	}

	private void startSync(long now) {
		boolean writes = !this.pendingEffects.isEmpty() && this.pendingEffects.peek().persist().isPresent();
		this.syncedAtNanos = writes ? now + this.random.nextLong(this.slowestSyncNanos) : now;
	}

	private void execute(ReplicaEffects effects) {
		this.outbox.addAll(effects.messages());
		effects.snapshotToInstall().ifPresent(this::install);
		effects.committed().forEach(this::apply);
	}

	private void install(Snapshot snapshot) {
		this.applied.clear();
		this.applied.addAll(decode(snapshot.state()));
		this.appliedIndex = snapshot.index();
		this.entriesSinceCompaction = 0;
	}

	private void apply(LogEntry entry) {
		this.appliedIndex = entry.index();
		this.entriesSinceCompaction++;
		if (entry.kind() == LogEntry.Kind.COMMAND) {
			this.applied.add(new String(entry.payload(), StandardCharsets.UTF_8));
		}
	}

	private static byte[] encode(List<String> commands) {
		return String.join("\n", commands).getBytes(StandardCharsets.UTF_8);
	}

	private static List<String> decode(byte[] state) {
		return new String(state, StandardCharsets.UTF_8).lines().toList();
	}

}

package org.redwingramp.core.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * One replica with its simulated disk and clock and a state machine that stores the
 * applied commands as texts.
 */
final class TestNode {

	final TestDisk disk;

	final List<String> applied = new ArrayList<>();

	final List<ProposalResult> results = new ArrayList<>();

	final List<Outbound> outbox = new ArrayList<>();

	final List<LogEntry> deliveredEntries = new ArrayList<>();

	final Deque<ReplicaEvent> backlog = new ArrayDeque<>();

	final Replica replica;

	boolean running = true;

	boolean paused;

	boolean syncing = true;

	double clockRate = 1;

	int installedSnapshots;

	private final Deque<ReplicaEffects> pendingEffects = new ArrayDeque<>();

	TestNode(TestDisk disk, List<String> names, long seed) {
		this(disk, Replicas.create(disk.stored(), names, ConsensusTiming.DEFAULT, new Random(seed)));
	}

	TestNode(TestDisk disk, Replica replica) {
		this.disk = disk;
		this.replica = replica;
	}

	ReplicaId id() {
		return this.replica.id();
	}

	long clock(long realNanos) {
		return (long) (realNanos * this.clockRate);
	}

	void handle(ReplicaEvent event, long realNanos) {
		if (!this.running) {
			return;
		}
		if (this.paused) {
			this.backlog.add(event);
			return;
		}
		this.pendingEffects.add(this.replica.handle(event, clock(realNanos)));
		carryOutEffects(realNanos);
	}

	void carryOutEffects(long realNanos) {
		while (!this.pendingEffects.isEmpty() && (this.syncing || this.pendingEffects.peek().persist().isEmpty())) {
			ReplicaEffects effects = this.pendingEffects.remove();
			effects.persist().ifPresent((batch) -> {
				this.disk.write(batch);
				this.pendingEffects
					.addLast(this.replica.handle(new ReplicaEvent.Persisted(batch.number()), clock(realNanos)));
			});
			this.outbox.addAll(effects.messages());
			effects.snapshotToInstall().ifPresent(this::install);
			effects.committed().forEach(this::apply);
			this.results.addAll(effects.results());
		}
	}

	byte[] state() {
		return String.join("\n", this.applied).getBytes(StandardCharsets.UTF_8);
	}

	private void install(Snapshot snapshot) {
		this.installedSnapshots++;
		this.applied.clear();
		this.applied.addAll(List.of(new String(snapshot.state(), StandardCharsets.UTF_8).split("\n")));
	}

	private void apply(LogEntry entry) {
		this.deliveredEntries.add(entry);
		if (entry.kind() == LogEntry.Kind.COMMAND) {
			this.applied.add(new String(entry.payload(), StandardCharsets.UTF_8));
		}
	}

}

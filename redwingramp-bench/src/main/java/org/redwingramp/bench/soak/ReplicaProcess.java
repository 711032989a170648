package org.redwingramp.bench.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Outbound;
import org.redwingramp.core.consensus.PendingProposals;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ProposalResult;
import org.redwingramp.core.consensus.Replica;
import org.redwingramp.core.consensus.ReplicaEffects;
import org.redwingramp.core.consensus.ReplicaEvent;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Replicas;

/**
 * A simulated control replica: runs the consensus replica under test on a disk with a
 * random sync latency, and a state machine. Effects are executed in order; those that
 * follow a persist batch wait until it is synced. Not thread safe.
 */
final class ReplicaProcess extends SimulatedProcess {

	private static final long TICK_NANOS = 10 * Simulation.MILLISECOND;

	/** Entries between two compactions; small, so that each round has several. */
	private static final int COMPACTION_INTERVAL_ENTRIES = 100;

	private final SimulatedCluster cluster;

	private final Supplier<StateMachine> stateMachineFactory;

	private final Deque<ReplicaEffects> pendingEffects = new ArrayDeque<>();

	private final PendingProposals<ProposalCallback> proposals = new PendingProposals<>();

	private SimulatedDisk disk;

	private Replica replica;

	private StateMachine stateMachine;

	private long appliedIndex;

	private long compactedIndex;

	private boolean syncing;

	ReplicaProcess(String name, SimulatedCluster cluster, Supplier<StateMachine> stateMachineFactory) {
		super(name, cluster.simulation());
		this.cluster = cluster;
		this.stateMachineFactory = stateMachineFactory;
		this.disk = newDisk();
		started();
	}

	Replica replica() {
		return this.replica;
	}

	ReplicaId id() {
		return this.disk.id();
	}

	SimulatedDisk disk() {
		return this.disk;
	}

	StateMachine stateMachine() {
		return this.stateMachine;
	}

	long appliedIndex() {
		return this.appliedIndex;
	}

	boolean mayRead() {
		return running() && this.replica.mayRead(clock());
	}

	// The state machine is up to date only if all committed entries have been applied.
	boolean serves() {
		return mayRead() && this.appliedIndex >= this.replica.commitIndex();
	}

	void loseDisk() {
		this.disk = newDisk();
	}

	void propose(long clockMillis, byte[] command, ProposalCallback callback) {
		handle(new ReplicaEvent.Propose(this.proposals.add(callback), clockMillis, command));
	}

	void handle(ReplicaEvent event) {
		ReplicaEffects effects;
		try {
			effects = this.replica.handle(event, clock());
		}
		catch (RuntimeException ex) {
			this.cluster.trace().violation(name() + " stopped: " + ex.getMessage());
			return;
		}
		this.cluster.replicaChecks().checkEffects(this, effects);
		this.pendingEffects.add(effects);
		effects.persist().ifPresent(this.disk::write);
		executePending();
	}

	@Override
	void stopped() {
		int lost = this.disk.crash(simulation().random());
		if (lost > 0) {
			this.cluster.trace().fault("unsynced writes lost");
		}
		this.pendingEffects.clear();
		// The proposals of a stopped process remain unanswered.
		this.proposals.abandonAll();
	}

	@Override
	void started() {
		this.syncing = false;
		this.appliedIndex = 0;
		this.compactedIndex = 0;
		this.stateMachine = this.stateMachineFactory.get();
		this.replica = Replicas.create(this.disk.stored(), this.cluster.replicaNames(), ConsensusTiming.DEFAULT,
				new Random(simulation().random().nextLong()));
		this.cluster.replicaChecks().started(this);
		runAfter(1, this::tick);
	}

	private void tick() {
		handle(new ReplicaEvent.Tick());
		runAfter(TICK_NANOS, this::tick);
	}

	private void executePending() {
		while (!this.pendingEffects.isEmpty() && !this.syncing && running()) {
			ReplicaEffects effects = this.pendingEffects.peek();
			if (effects.persist().isPresent()) {
				sync(effects.persist().get());
				return;
			}
			this.pendingEffects.remove();
			execute(effects);
		}
	}

	private void sync(PersistBatch batch) {
		this.syncing = true;
		boolean stall = simulation().chance(0.005);
		if (stall) {
			this.cluster.trace().fault("slow sync");
		}
		long latency = stall ? simulation().between(20, 300)
				: simulation().random().nextLong(Simulation.MILLISECOND / 10, 4 * Simulation.MILLISECOND);
		SimulatedDisk syncedDisk = this.disk;
		runAfter(latency, () -> {
			syncedDisk.sync(batch.number());
			this.cluster.replicaChecks().synced(this, batch);
			this.syncing = false;
			execute(this.pendingEffects.remove());
			handle(new ReplicaEvent.Persisted(batch.number()));
		});
	}

	private void execute(ReplicaEffects effects) {
		effects.messages().forEach(this::send);
		effects.snapshotToInstall().ifPresent((snapshot) -> {
			this.stateMachine.restore(snapshot.state());
			this.appliedIndex = snapshot.index();
			this.compactedIndex = snapshot.index();
			this.cluster.replicaChecks().applied(this);
		});
		effects.committed().forEach(this::apply);
		effects.results().forEach(this::handleResult);
		compact();
	}

	private void send(Outbound message) {
		ReplicaId sender = id();
		this.cluster.network()
			.send(name(), message.receiver().name(),
					() -> this.cluster.replica(message.receiver())
						.ifPresent((receiver) -> receiver
							.run(() -> receiver.handle(new ReplicaEvent.Received(sender, message.message())))));
	}

	private void apply(LogEntry entry) {
		Object result;
		try {
			result = this.stateMachine.apply(entry);
		}
		catch (Exception ex) {
			this.cluster.trace().violation(name() + " at entry " + entry.index() + ": " + ex.getMessage());
			return;
		}
		this.appliedIndex = entry.index();
		this.cluster.replicaChecks().applied(this);
		this.proposals.committed(entry).ifPresent((callback) -> {
			this.cluster.replicaChecks().acknowledged(entry);
			callback.done(ProposalCallback.Status.APPLIED, result);
		});
	}

	private void handleResult(ProposalResult result) {
		boolean unknown = result.status() == ProposalResult.Status.LOST_LEADERSHIP;
		this.proposals.resolved(result)
			.ifPresent((callback) -> callback
				.done(unknown ? ProposalCallback.Status.UNKNOWN : ProposalCallback.Status.REFUSED, null));
	}

	private void compact() {
		if (this.appliedIndex - this.compactedIndex >= COMPACTION_INTERVAL_ENTRIES) {
			this.compactedIndex = this.appliedIndex;
			long index = this.appliedIndex;
			byte[] state = this.stateMachine.snapshot();
			runAfter(0, () -> handle(new ReplicaEvent.Compact(index, state)));
		}
	}

	private SimulatedDisk newDisk() {
		return new SimulatedDisk(new ReplicaId(name(), simulation().random().nextLong()));
	}

	List<String> describe() {
		return List.of(id() + " " + this.replica.role() + " term " + this.replica.term() + " commit "
				+ this.replica.commitIndex() + " " + this.replica.membership().map(Object::toString).orElse("-"));
	}

}

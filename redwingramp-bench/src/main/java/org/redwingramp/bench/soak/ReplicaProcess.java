package org.redwingramp.bench.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Outbound;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ProposalResult;
import org.redwingramp.core.consensus.Replica;
import org.redwingramp.core.consensus.ReplicaEffects;
import org.redwingramp.core.consensus.ReplicaEvent;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Replicas;

/**
 * A control replica: the real replica, a disk that takes time to sync and a state
 * machine. Effects are carried out in order; those after a batch wait for its sync. Not
 * thread safe.
 */
final class ReplicaProcess extends SimulatedProcess {

	private static final long TICK_NANOS = 10 * Simulation.MILLISECOND;

	/** Entries between two compactions, few enough that each round has several. */
	private static final int COMPACTION_INTERVAL = 100;

	private final World world;

	private final Supplier<StateMachine> machines;

	private final Deque<ReplicaEffects> waiting = new ArrayDeque<>();

	private final Map<Long, ProposalCallback> asked = new HashMap<>();

	private final TreeMap<Long, ProposalCallback> appended = new TreeMap<>();

	private SimulatedDisk disk;

	private Replica replica;

	private StateMachine machine;

	private long applied;

	private long compacted;

	private long proposals;

	private boolean syncing;

	ReplicaProcess(String name, World world, Supplier<StateMachine> machines) {
		super(name, world.simulation());
		this.world = world;
		this.machines = machines;
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

	StateMachine machine() {
		return this.machine;
	}

	long applied() {
		return this.applied;
	}

	// The state machine is current only if everything committed has been applied.
	boolean mayRead() {
		return running() && this.replica.mayRead(clock());
	}

	boolean serves() {
		return mayRead() && this.applied >= this.replica.commitIndex();
	}

	void loseDisk() {
		this.disk = newDisk();
	}

	void propose(long clockMillis, byte[] command, ProposalCallback callback) {
		long id = ++this.proposals;
		this.asked.put(id, callback);
		handle(new ReplicaEvent.Propose(id, clockMillis, command));
	}

	void handle(ReplicaEvent event) {
		ReplicaEffects effects;
		try {
			effects = this.replica.handle(event, clock());
		}
		catch (RuntimeException ex) {
			this.world.trace().violation(name() + " stopped: " + ex.getMessage());
			return;
		}
		this.world.replicaChecks().decided(this, effects);
		this.waiting.add(effects);
		effects.persist().ifPresent(this.disk::write);
		carryOut();
	}

	@Override
	void stopped() {
		int lost = this.disk.crash(simulation().random());
		if (lost > 0) {
			this.world.trace().fault("unsynced writes lost");
		}
		this.waiting.clear();
		this.asked.clear();
		this.appended.clear();
	}

	@Override
	void started() {
		this.syncing = false;
		this.applied = 0;
		this.compacted = 0;
		this.machine = this.machines.get();
		this.replica = Replicas.create(this.disk.stored(), this.world.replicaNames(), ConsensusTiming.DEFAULT,
				new Random(simulation().random().nextLong()));
		this.world.replicaChecks().started(this);
		runAfter(1, this::tick);
	}

	private void tick() {
		handle(new ReplicaEvent.Tick());
		runAfter(TICK_NANOS, this::tick);
	}

	private void carryOut() {
		while (!this.waiting.isEmpty() && !this.syncing && running()) {
			ReplicaEffects effects = this.waiting.peek();
			if (effects.persist().isPresent()) {
				sync(effects.persist().get());
				return;
			}
			this.waiting.remove();
			release(effects);
		}
	}

	private void sync(PersistBatch batch) {
		this.syncing = true;
		boolean stall = simulation().chance(0.005);
		if (stall) {
			this.world.trace().fault("slow sync");
		}
		long latency = stall ? simulation().between(20, 300)
				: simulation().random().nextLong(Simulation.MILLISECOND / 10, 4 * Simulation.MILLISECOND);
		SimulatedDisk written = this.disk;
		runAfter(latency, () -> {
			written.sync(batch.number());
			this.world.replicaChecks().synced(this, batch);
			this.syncing = false;
			release(this.waiting.remove());
			handle(new ReplicaEvent.Persisted(batch.number()));
		});
	}

	private void release(ReplicaEffects effects) {
		effects.messages().forEach(this::send);
		effects.snapshotToInstall().ifPresent((snapshot) -> {
			this.machine.restore(snapshot.state());
			this.applied = snapshot.index();
			this.compacted = snapshot.index();
			this.world.replicaChecks().applied(this);
		});
		effects.committed().forEach(this::apply);
		effects.results().forEach(this::answer);
		compact();
	}

	private void send(Outbound message) {
		ReplicaId sender = id();
		this.world.network()
			.send(name(), message.receiver().name(),
					() -> this.world.replica(message.receiver())
						.ifPresent((receiver) -> receiver
							.run(() -> receiver.handle(new ReplicaEvent.Received(sender, message.message())))));
	}

	private void apply(LogEntry entry) {
		Object result;
		try {
			result = this.machine.apply(entry);
		}
		catch (Exception ex) {
			this.world.trace().violation(name() + " at entry " + entry.index() + ": " + ex.getMessage());
			return;
		}
		this.applied = entry.index();
		this.world.replicaChecks().applied(this);
		ProposalCallback callback = this.appended.remove(entry.index());
		if (callback != null) {
			this.world.replicaChecks().acknowledged(entry);
			callback.done(ProposalCallback.Status.APPLIED, result);
		}
	}

	private void answer(ProposalResult result) {
		ProposalCallback callback = this.asked.remove(result.proposalId());
		switch (result.status()) {
			case APPENDED -> this.appended.put(result.index(), callback);
			case LOST_LEADERSHIP -> {
				ProposalCallback open = this.appended.remove(result.index());
				if (open != null) {
					open.done(ProposalCallback.Status.UNKNOWN, null);
				}
			}
			default -> callback.done(ProposalCallback.Status.REFUSED, null);
		}
	}

	private void compact() {
		if (this.applied - this.compacted >= COMPACTION_INTERVAL) {
			this.compacted = this.applied;
			long index = this.applied;
			byte[] state = this.machine.snapshot();
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

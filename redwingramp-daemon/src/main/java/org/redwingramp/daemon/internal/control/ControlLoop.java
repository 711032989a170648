package org.redwingramp.daemon.internal.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.redwingramp.core.consensus.CompactionSchedule;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Outbound;
import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.Replica;
import org.redwingramp.core.consensus.ReplicaEvent;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Role;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.storage.StorageException;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

/**
 * The event loop of the control role, run by a single thread. That thread owns the
 * consensus replica, its store, the state machine and the leader's controller; messages
 * and remote calls from other threads enter through one bounded queue.
 *
 * <p>
 * Invariants: log entries and votes are synced to disk before any message that depends on
 * them is sent and before the entries are applied; calls are served only while this
 * replica holds the leader lease and has applied all committed entries. The public
 * methods are thread safe.
 */
public final class ControlLoop implements Runnable {

	private static final int INPUT_QUEUE_CAPACITY = 16_384;

	private static final int MAX_INPUTS_PER_STEP = 512;

	private static final long TICK_INTERVAL_NANOS = 5_000_000L;

	private static final long HELLO_INTERVAL_NANOS = 200_000_000L;

	private final BlockingQueue<ControlInput> inputs = new ArrayBlockingQueue<>(INPUT_QUEUE_CAPACITY);

	private final Replica replica;

	private final ReplicaStore store;

	private final StateMachine stateMachine;

	private final LeaderTasks leaderTasks;

	private final RecordCodec<Command> commandCodec;

	private final ReplicaLinks links;

	private final ControlPeers peers;

	private final LongSupplier clock;

	private final ExecutorService snapshotExecutor = Executors
		.newSingleThreadExecutor((task) -> new Thread(task, "snapshot"));

	private final EffectBuffer effects = new EffectBuffer();

	private final CompactionSchedule compaction;

	private long nextHelloNanos;

	private long nextTickNanos;

	private Role lastRole = Role.BLANK;

	private String lastLeader = "";

	private volatile boolean running = true;

	private volatile boolean failed;

	ControlLoop(ControlLoopComponents components) {
		this.replica = components.replica();
		this.store = components.store();
		this.stateMachine = components.stateMachine();
		this.leaderTasks = components.leaderTasks();
		this.commandCodec = components.commandCodec();
		this.links = components.links();
		this.peers = components.peers();
		this.clock = components.clock();
		this.compaction = new CompactionSchedule(components.snapshotEvery());
	}

	/**
	 * Queues a one-way message from another replica. The message is dropped if the queue
	 * is full, which the consensus protocol tolerates.
	 * @param frame the message
	 */
	public void receiveMessage(PeerFrame frame) {
		if (frame instanceof PeerFrame.Consensus consensus) {
			if (consensus.receiver().equals(this.replica.id())) {
				PeerMessage message = consensus.message();
				this.inputs.offer(new ControlInput.PeerInput(consensus.sender(), message));
			}
		}
		else if (frame instanceof PeerFrame.Hello announced) {
			this.inputs.offer(new ControlInput.HelloInput(announced.sender(), announced.blank()));
		}
	}

	/**
	 * Queues a call from another daemon.
	 * @param call the call
	 * @return a future that completes with the reply
	 */
	public CompletableFuture<ControlReply> submitCall(ControlCall call) {
		CompletableFuture<ControlReply> reply = new CompletableFuture<>();
		if (this.failed || !this.running) {
			reply.complete(new ControlReply.NotLeader(""));
		}
		else if (!this.inputs.offer(new ControlInput.CallInput(call, reply))) {
			reply.complete(new ControlReply.Overloaded());
		}
		return reply;
	}

	/**
	 * Returns whether the control role is free of failures.
	 * @return {@code false} once the storage failed or an invariant was violated
	 */
	public boolean healthy() {
		return !this.failed;
	}

	/** Stops the loop after the current step. */
	public void stop() {
		this.running = false;
	}

	@Override
	public void run() {
		try {
			while (this.running) {
				step();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (StorageException ex) {
			this.failed = true;
			EventLog.log(Event.STORAGE_FAILED, ex.getMessage());
		}
		catch (InvariantViolatedException | CodecException | RuntimeException ex) {
			this.failed = true;
			EventLog.log(Event.INVARIANT_VIOLATED, "control", ex);
		}
		finally {
			refuseRemainingCalls();
		}
	}

	private void step() throws InterruptedException, StorageException, InvariantViolatedException, CodecException {
		List<ControlInput> batch = new ArrayList<>();
		ControlInput first = this.inputs.poll(nanosUntilTick(), TimeUnit.NANOSECONDS);
		if (first != null) {
			batch.add(first);
			this.inputs.drainTo(batch, MAX_INPUTS_PER_STEP - 1);
		}
		for (ControlInput input : batch) {
			process(input);
		}
		long now = this.clock.getAsLong();
		if (now >= this.nextTickNanos) {
			this.nextTickNanos = now + TICK_INTERVAL_NANOS;
			handle(new ReplicaEvent.Tick());
			sendHelloIfDue(now);
			runLeaderTasks(now);
		}
		runEffects();
		handleRoleChange();
		snapshotIfDue();
	}

	private long nanosUntilTick() {
		return Math.max(0, Math.min(TICK_INTERVAL_NANOS, this.nextTickNanos - this.clock.getAsLong()));
	}

	private void process(ControlInput input) throws StorageException, InvariantViolatedException, CodecException {
		if (input instanceof ControlInput.PeerInput peer) {
			handle(new ReplicaEvent.Received(peer.sender(), peer.message()));
		}
		else if (input instanceof ControlInput.HelloInput announced) {
			handle(new ReplicaEvent.PeerDiscovered(announced.id(), announced.empty()));
		}
		else if (input instanceof ControlInput.SnapshotInput snapshot) {
			handle(new ReplicaEvent.Compact(snapshot.index(), snapshot.state()));
		}
		else if (input instanceof ControlInput.CallInput call) {
			processCall(call);
		}
	}

	private void processCall(ControlInput.CallInput input)
			throws StorageException, InvariantViolatedException, CodecException {
		long now = this.clock.getAsLong();
		if (!mayRead(now)) {
			input.reply().complete(new ControlReply.NotLeader(leaderName()));
		}
		else if (input.call() instanceof ControlCall.Propose propose) {
			propose(propose.command(), input.reply());
		}
		else if (input.call() instanceof ControlCall.Heartbeat heartbeat) {
			input.reply()
				.complete(new ControlReply.Renewed(controller(now).handleHeartbeat(heartbeat.heartbeat(), now)));
		}
		else if (input.call() instanceof ControlCall.ReadView read) {
			input.reply().complete(readView(read.since(), now));
		}
	}

	private org.redwingramp.core.control.Controller controller(long now) {
		return this.leaderTasks.controller(this.stateMachine.state(), this.replica.term(), now);
	}

	private ControlReply readView(long since, long now) {
		List<String> replicas = this.replica.membership()
			.map((group) -> group.all()
				.stream()
				.map((id) -> id + (group.voters().contains(id) ? " voter" : " learner"))
				.toList())
			.orElse(List.of());
		return new ControlReply.ViewRead(this.stateMachine.state().changesSince(since),
				controller(now).versionInForce(now), this.stateMachine.state().revision(), leaderName(),
				this.replica.term(), replicas, this.replica.commitIndex(), this.stateMachine.state().ledgerSize());
	}

	private void propose(Command command, CompletableFuture<ControlReply> reply) {
		try {
			byte[] payload = this.commandCodec.encode(command);
			long id = this.stateMachine.registerProposal(reply);
			handle(new ReplicaEvent.Propose(id, System.currentTimeMillis(), payload));
		}
		catch (CodecException ex) {
			reply.complete(new ControlReply.Overloaded());
			EventLog.log(Event.DUTY_FAILED, "encode command", ex);
		}
	}

	// Returns whether this replica holds the leader lease and has applied every committed
	// entry. The replica hands over committed entries before they are applied here; a
	// controller or a read that lacks entries of the previous leader could contradict
	// them.
	private boolean mayRead(long now) throws StorageException, InvariantViolatedException, CodecException {
		if (!this.replica.mayRead(now)) {
			return false;
		}
		if (this.stateMachine.appliedIndex() < this.replica.commitIndex()) {
			runEffects();
		}
		return this.replica.mayRead(this.clock.getAsLong())
				&& this.stateMachine.appliedIndex() >= this.replica.commitIndex();
	}

	private void runLeaderTasks(long now) throws StorageException, InvariantViolatedException, CodecException {
		if (!mayRead(now)) {
			return;
		}
		for (Command command : controller(now).tick(now)) {
			this.leaderTasks.logDecision(command);
			propose(command, new CompletableFuture<>());
		}
	}

	private void sendHelloIfDue(long now) {
		if (now >= this.nextHelloNanos) {
			this.nextHelloNanos = now + HELLO_INTERVAL_NANOS;
			boolean empty = this.replica.role() == Role.BLANK;
			this.peers.others().forEach((name) -> this.links.send(name, new PeerFrame.Hello(this.replica.id(), empty)));
		}
	}

	private void handle(ReplicaEvent event) {
		this.effects.collect(this.replica.handle(event, this.clock.getAsLong()));
	}

	private void runEffects() throws StorageException, InvariantViolatedException, CodecException {
		while (!this.effects.isEmpty()) {
			List<PersistBatch> batches = this.effects.takeBatches();
			List<Outbound> messages = this.effects.takeMessages();
			List<Object> itemsToApply = this.effects.takeItemsToApply();
			this.effects.takeResults().forEach(this.stateMachine::handleProposalResult);
			for (PersistBatch batch : batches) {
				this.store.persist(batch);
			}
			messages.forEach(this::send);
			for (Object item : itemsToApply) {
				apply(item);
			}
			batches.forEach((batch) -> handle(new ReplicaEvent.Persisted(batch.number())));
		}
	}

	private void send(Outbound outbound) {
		ReplicaId receiver = outbound.receiver();
		this.links.send(receiver.name(), new PeerFrame.Consensus(this.replica.id(), receiver, outbound.message()));
	}

	private void apply(Object item) throws InvariantViolatedException, CodecException {
		if (item instanceof Snapshot snapshot) {
			this.stateMachine.installSnapshot(snapshot);
			this.compaction.restart();
		}
		else if (item instanceof LogEntry entry) {
			this.replica.membership().ifPresent((group) -> this.stateMachine.initializeCluster(group.clusterId()));
			this.compaction.applied(entry);
			this.stateMachine.apply(entry);
		}
	}

	private void handleRoleChange() {
		Role role = this.replica.role();
		String leader = leaderName();
		if (role == this.lastRole && leader.equals(this.lastLeader)) {
			return;
		}
		if (this.lastRole == Role.LEADER && role != Role.LEADER) {
			this.stateMachine.abandonPendingProposals();
		}
		this.lastRole = role;
		this.lastLeader = leader;
		EventLog.log(Event.ROLE_CHANGED, this.replica.id(), role, this.replica.term(), leader);
	}

	private void snapshotIfDue() {
		if (!this.compaction.due()) {
			return;
		}
		this.compaction.restart();
		long applied = this.stateMachine.appliedIndex();
		ControlSnapshot snapshot = this.stateMachine.state().snapshot();
		this.snapshotExecutor.execute(() -> encodeSnapshot(applied, snapshot));
	}

	// Runs on the snapshot thread: encoding a large state takes longer than the leader
	// lease and must not block the loop.
	private void encodeSnapshot(long index, ControlSnapshot snapshot) {
		try {
			byte[] encoded = this.stateMachine.encodeSnapshot(snapshot);
			this.inputs.put(new ControlInput.SnapshotInput(index, encoded));
			EventLog.log(Event.SNAPSHOT, index, encoded.length);
		}
		catch (CodecException ex) {
			EventLog.log(Event.DUTY_FAILED, "encode snapshot", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String leaderName() {
		Optional<ReplicaId> leader = this.replica.leader();
		return leader.map(ReplicaId::name).orElse("");
	}

	private void refuseRemainingCalls() {
		this.running = false;
		this.snapshotExecutor.shutdownNow();
		this.stateMachine.abandonPendingProposals();
		List<ControlInput> batch = new ArrayList<>();
		this.inputs.drainTo(batch);
		batch.stream()
			.filter(ControlInput.CallInput.class::isInstance)
			.map(ControlInput.CallInput.class::cast)
			.forEach((input) -> input.reply().complete(new ControlReply.NotLeader("")));
	}

}

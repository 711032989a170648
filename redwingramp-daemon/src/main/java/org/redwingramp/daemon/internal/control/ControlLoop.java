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
 * The thread of the control role. It owns the replica, the store, the state machine and
 * the leader's decisions; everything reaches it through one bounded ring.
 *
 * <p>
 * Invariants: entries and votes are synced before any message that depends on them is
 * sent and before they are applied; calls are answered only while the replica may read.
 * The public methods are thread safe.
 */
public final class ControlLoop implements Runnable {

	private static final int RING_SIZE = 16_384;

	private static final int MAX_BATCH = 512;

	private static final long TICK_NANOS = 5_000_000L;

	private static final long HELLO_NANOS = 200_000_000L;

	private final BlockingQueue<ControlInput> ring = new ArrayBlockingQueue<>(RING_SIZE);

	private final Replica replica;

	private final ReplicaStore store;

	private final StateMachine machine;

	private final LeaderDuties duties;

	private final RecordCodec<Command> commands;

	private final ReplicaLinks links;

	private final ControlPeers peers;

	private final LongSupplier clock;

	private final ExecutorService background = Executors
		.newSingleThreadExecutor((task) -> new Thread(task, "snapshot"));

	private final EffectRunner effects = new EffectRunner();

	private final int snapshotEvery;

	private long lastSnapshot;

	private long nextHello;

	private long nextTick;

	private Role lastRole = Role.BLANK;

	private String lastLeader = "";

	private volatile boolean running = true;

	private volatile boolean failed;

	ControlLoop(ControlParts parts) {
		this.replica = parts.replica();
		this.store = parts.store();
		this.machine = parts.machine();
		this.duties = parts.duties();
		this.commands = parts.commands();
		this.links = parts.links();
		this.peers = parts.peers();
		this.clock = parts.clock();
		this.snapshotEvery = parts.snapshotEvery();
		this.lastSnapshot = this.machine.appliedIndex();
	}

	/**
	 * Accepts a one-way message. A message that doesn't fit into the ring is dropped,
	 * which the protocol tolerates.
	 * @param frame the message
	 */
	public void delivered(PeerFrame frame) {
		if (frame instanceof PeerFrame.Consensus consensus) {
			if (consensus.receiver().equals(this.replica.id())) {
				PeerMessage message = consensus.message();
				this.ring.offer(new ControlInput.PeerInput(consensus.sender(), message));
			}
		}
		else if (frame instanceof PeerFrame.Hello hello) {
			this.ring.offer(new ControlInput.HelloInput(hello.sender(), hello.blank()));
		}
	}

	/**
	 * Accepts a call.
	 * @param call the call
	 * @return completed with the reply
	 */
	public CompletableFuture<ControlReply> called(ControlCall call) {
		CompletableFuture<ControlReply> reply = new CompletableFuture<>();
		if (this.failed || !this.running) {
			reply.complete(new ControlReply.NotLeader(""));
		}
		else if (!this.ring.offer(new ControlInput.CallInput(call, reply))) {
			reply.complete(new ControlReply.Overloaded());
		}
		return reply;
	}

	/**
	 * Returns whether the control role works.
	 * @return {@code false} after an invariant or the storage failed
	 */
	public boolean healthy() {
		return !this.failed;
	}

	/** Ends the loop after the current batch. */
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
			refuseRemaining();
		}
	}

	private void step() throws InterruptedException, StorageException, InvariantViolatedException, CodecException {
		List<ControlInput> inputs = new ArrayList<>();
		ControlInput first = this.ring.poll(waitNanos(), TimeUnit.NANOSECONDS);
		if (first != null) {
			inputs.add(first);
			this.ring.drainTo(inputs, MAX_BATCH - 1);
		}
		for (ControlInput input : inputs) {
			accept(input);
		}
		long now = this.clock.getAsLong();
		if (now >= this.nextTick) {
			this.nextTick = now + TICK_NANOS;
			handle(new ReplicaEvent.Tick());
			hello(now);
			runDuties(now);
		}
		runEffects();
		observeRole();
		snapshotIfDue();
	}

	private long waitNanos() {
		return Math.max(0, Math.min(TICK_NANOS, this.nextTick - this.clock.getAsLong()));
	}

	private void accept(ControlInput input) throws StorageException, InvariantViolatedException, CodecException {
		if (input instanceof ControlInput.PeerInput peer) {
			handle(new ReplicaEvent.Received(peer.sender(), peer.message()));
		}
		else if (input instanceof ControlInput.HelloInput hello) {
			handle(new ReplicaEvent.PeerDiscovered(hello.id(), hello.blank()));
		}
		else if (input instanceof ControlInput.SnapshotInput snapshot) {
			handle(new ReplicaEvent.Compact(snapshot.index(), snapshot.state()));
		}
		else if (input instanceof ControlInput.CallInput call) {
			answer(call);
		}
	}

	private void answer(ControlInput.CallInput input)
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
		return this.duties.controller(this.machine.state(), this.replica.term(), now);
	}

	private ControlReply readView(long since, long now) {
		List<String> replicas = this.replica.membership()
			.map((group) -> group.all()
				.stream()
				.map((id) -> id + (group.voters().contains(id) ? " voter" : " learner"))
				.toList())
			.orElse(List.of());
		return new ControlReply.ViewRead(this.machine.state().changesSince(since), controller(now).versionInForce(now),
				this.machine.state().revision(), leaderName(), this.replica.term(), replicas,
				this.replica.commitIndex(), this.machine.state().ledgerSize());
	}

	private void propose(Command command, CompletableFuture<ControlReply> reply) {
		try {
			byte[] payload = this.commands.encode(command);
			long id = this.machine.register(reply);
			handle(new ReplicaEvent.Propose(id, System.currentTimeMillis(), payload));
		}
		catch (CodecException ex) {
			reply.complete(new ControlReply.Overloaded());
			EventLog.log(Event.DUTY_FAILED, "encode command", ex);
		}
	}

	// The replica delivers committed entries before they are applied here. A controller
	// or a read that misses entries of a former leader could contradict them.
	private boolean mayRead(long now) throws StorageException, InvariantViolatedException, CodecException {
		if (!this.replica.mayRead(now)) {
			return false;
		}
		if (this.machine.appliedIndex() < this.replica.commitIndex()) {
			runEffects();
		}
		return this.replica.mayRead(this.clock.getAsLong())
				&& this.machine.appliedIndex() >= this.replica.commitIndex();
	}

	private void runDuties(long now) throws StorageException, InvariantViolatedException, CodecException {
		if (!mayRead(now)) {
			return;
		}
		for (Command command : controller(now).tick(now)) {
			this.duties.explain(command);
			propose(command, new CompletableFuture<>());
		}
	}

	private void hello(long now) {
		if (now >= this.nextHello) {
			this.nextHello = now + HELLO_NANOS;
			boolean empty = this.replica.role() == Role.BLANK;
			this.peers.others().forEach((name) -> this.links.send(name, new PeerFrame.Hello(this.replica.id(), empty)));
		}
	}

	private void handle(ReplicaEvent event) {
		this.effects.gather(this.replica.handle(event, this.clock.getAsLong()));
	}

	private void runEffects() throws StorageException, InvariantViolatedException, CodecException {
		while (!this.effects.empty()) {
			List<PersistBatch> batches = this.effects.takeBatches();
			List<Outbound> messages = this.effects.takeMessages();
			List<Object> toApply = this.effects.takeToApply();
			this.effects.takeResults().forEach(this.machine::resolve);
			for (PersistBatch batch : batches) {
				this.store.persist(batch);
			}
			messages.forEach(this::send);
			for (Object item : toApply) {
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
			this.machine.install(snapshot);
			this.lastSnapshot = snapshot.index();
		}
		else if (item instanceof LogEntry entry) {
			this.replica.membership().ifPresent((group) -> this.machine.formed(group.clusterId()));
			this.machine.apply(entry);
		}
	}

	private void observeRole() {
		Role role = this.replica.role();
		String leader = leaderName();
		if (role == this.lastRole && leader.equals(this.lastLeader)) {
			return;
		}
		if (this.lastRole == Role.LEADER && role != Role.LEADER) {
			this.machine.abandonWaiting();
		}
		this.lastRole = role;
		this.lastLeader = leader;
		EventLog.log(Event.ROLE_CHANGED, this.replica.id(), role, this.replica.term(), leader);
	}

	private void snapshotIfDue() {
		long applied = this.machine.appliedIndex();
		if (applied - this.lastSnapshot < this.snapshotEvery) {
			return;
		}
		this.lastSnapshot = applied;
		ControlSnapshot snapshot = this.machine.state().snapshot();
		this.background.execute(() -> encode(applied, snapshot));
	}

	// Encoding a large state takes longer than the leader lease, so it must not hold up
	// the loop.
	private void encode(long index, ControlSnapshot snapshot) {
		try {
			byte[] encoded = this.machine.encode(snapshot);
			this.ring.put(new ControlInput.SnapshotInput(index, encoded));
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

	private void refuseRemaining() {
		this.running = false;
		this.background.shutdownNow();
		this.machine.abandonWaiting();
		List<ControlInput> inputs = new ArrayList<>();
		this.ring.drainTo(inputs);
		inputs.stream()
			.filter(ControlInput.CallInput.class::isInstance)
			.map(ControlInput.CallInput.class::cast)
			.forEach((input) -> input.reply().complete(new ControlReply.NotLeader("")));
	}

}

package org.redwingramp.node.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

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
import org.redwingramp.core.consensus.Role;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.fleet.FleetCommand;
import org.redwingramp.core.fleet.FleetResult;
import org.redwingramp.core.fleet.FleetSnapshot;
import org.redwingramp.core.fleet.FleetState;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.storage.CorruptStorageException;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.storage.StorageException;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

/**
 * Runs a replica of the log: its disk, its messages and the fleet's state. Invariant:
 * effects are carried out in the order of the events, and nothing is sent or applied
 * before what it depends on is synced. Belongs to the loop's thread; only the disk is
 * used by a thread of its own.
 */
final class ReplicaHost {

	private static final long MILLISECOND = 1_000_000L;

	/**
	 * Heartbeats cost a wake-up on each replica. After a loss of all replicas nothing is
	 * served until the election is over, so it is kept short.
	 */
	private static final ConsensusTiming TIMING = new ConsensusTiming(80 * MILLISECOND, 300 * MILLISECOND,
			600 * MILLISECOND, 0.02);

	/** Three signs of life between replicas, each of which the leader answers. */
	private static final long TOLD_LEADER_NANOS = 1200 * MILLISECOND;

	/** The time between two ticks; a part of the heartbeat's. */
	private static final long TICK_NANOS = 40 * MILLISECOND;

	/**
	 * Entries after which the log is replaced by a snapshot, which a restarted process
	 * reads faster.
	 */
	private static final long SNAPSHOT_ENTRIES = 200;

	private final EventLoop loop;

	private final EventWriter events;

	private final ReplicaStore store;

	private final Replica replica;

	private final PeerLinks peers;

	private final long startedNanos;

	private final ExecutorService disk = Executors.newSingleThreadExecutor((task) -> {
		Thread thread = new Thread(task, "disk");
		thread.setDaemon(true);
		return thread;
	});

	private final RecordCodec<FleetCommand> commands = RecordCodec.of(FleetCommand.class);

	private final RecordCodec<FleetSnapshot> snapshots = RecordCodec.of(FleetSnapshot.class);

	private final Deque<ReplicaEffects> waiting = new ArrayDeque<>();

	private final Map<Long, Consumer<Optional<FleetResult>>> proposals = new HashMap<>();

	private final Map<Long, Consumer<Optional<FleetResult>>> appended = new HashMap<>();

	private BiConsumer<FleetCommand, FleetResult> appliedListener = (command, result) -> {
	};

	private FleetState state = new FleetState(FleetSnapshot.EMPTY);

	private Role role = Role.BLANK;

	private long appliedIndex;

	private long snapshotIndex;

	private long nextProposal = 1;

	private Optional<String> toldLeader = Optional.empty();

	private long toldLeaderNanos;

	private boolean writing;

	private boolean carrying;

	private boolean broken;

	ReplicaHost(EventLoop loop, ControlSettings settings, EventWriter events) throws StorageException {
		this.loop = loop;
		this.events = events;
		this.startedNanos = settings.startedNanos();
		this.store = open(settings, events);
		List<String> founding = founding(settings) ? settings.seeds() : List.of();
		this.replica = Replicas.createOpen(this.store.load(), founding, settings.voters(), TIMING, new SecureRandom());
		this.peers = new PeerLinks(loop, settings, this::hello, this::received, events);
	}

	private static ReplicaStore open(ControlSettings settings, EventWriter events) throws StorageException {
		try {
			return ReplicaStore.open(settings.dataFolder(), settings.name(), new SecureRandom());
		}
		catch (CorruptStorageException ex) {
			events.log(NodeEvent.STORAGE_FAILED, "action", "start blank", "reason", ex.getMessage());
			return ReplicaStore.reset(settings.dataFolder(), settings.name(), new SecureRandom());
		}
	}

	private static boolean founding(ControlSettings settings) {
		return settings.founding() && settings.seeds().contains(settings.name());
	}

	void start(BiConsumer<FleetCommand, FleetResult> listener) {
		this.appliedListener = listener;
		this.loop.repeat(TICK_NANOS, () -> handle(new ReplicaEvent.Tick()));
		// The replica counts its first wait from here. It can't have heard a leader since
		// the start of its process, so opening the folder is a part of that wait.
		handle(new ReplicaEvent.Tick(), this.startedNanos);
		this.peers.start();
	}

	void learn(List<String> names) {
		names.forEach(this.peers::learn);
	}

	FleetState state() {
		return this.state;
	}

	String name() {
		return this.replica.id().name();
	}

	long term() {
		return this.replica.term();
	}

	// A replica outside the group hears nothing of elections, so it goes by what the
	// leader itself said last.
	Optional<String> leader() {
		boolean voter = this.replica.membership()
			.filter((group) -> group.voters().contains(this.replica.id()))
			.isPresent();
		boolean fresh = System.nanoTime() - this.toldLeaderNanos < TOLD_LEADER_NANOS;
		return this.replica.leader().map(ReplicaId::name).or(() -> this.toldLeader.filter((name) -> !voter && fresh));
	}

	List<String> replicaNames() {
		return this.peers.known();
	}

	// Returns whether this replica leads and its state holds everything that was
	// committed.
	boolean current() {
		return !this.broken && this.replica.mayRead(System.nanoTime())
				&& this.appliedIndex >= this.replica.commitIndex();
	}

	boolean leads() {
		return !this.broken && this.replica.role() == Role.LEADER;
	}

	boolean mayAct() {
		return !this.broken && this.replica.mayRead(System.nanoTime());
	}

	// The result is empty if the command may or may not be committed.
	void propose(FleetCommand command, Consumer<Optional<FleetResult>> result) {
		try {
			long number = this.nextProposal++;
			this.proposals.put(number, result);
			handle(new ReplicaEvent.Propose(number, System.currentTimeMillis(), this.commands.encode(command)));
		}
		catch (CodecException ex) {
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "encode command", "reason", ex.getMessage());
			result.accept(Optional.empty());
		}
	}

	void received(LinkMessage message) {
		if (message instanceof LinkMessage.ReplicaHello hello) {
			this.peers.learn(hello.replica().name());
			handle(new ReplicaEvent.PeerDiscovered(hello.replica(), hello.blank()));
		}
		else if (message instanceof LinkMessage.LeaderInfo info && info.leading()) {
			this.toldLeader = Optional.of(info.leader());
			this.toldLeaderNanos = System.nanoTime();
		}
		else if (message instanceof LinkMessage.Consensus consensus) {
			handle(new ReplicaEvent.Received(consensus.sender(), consensus.message()));
		}
	}

	LinkMessage.ReplicaHello hello() {
		return new LinkMessage.ReplicaHello(this.replica.id(), this.replica.role() == Role.BLANK);
	}

	private void handle(ReplicaEvent event) {
		handle(event, System.nanoTime());
	}

	private void handle(ReplicaEvent event, long now) {
		if (this.broken) {
			return;
		}
		ReplicaEffects effects = this.replica.handle(event, now);
		noteRole();
		if (effects != ReplicaEffects.NONE) {
			this.waiting.add(effects);
			carryOut();
		}
	}

	private void noteRole() {
		if (this.replica.role() != this.role) {
			this.role = this.replica.role();
			this.events.log(NodeEvent.ROLE_CHANGED, "role", this.role, "term", this.replica.term(), "leader",
					leader().orElse(""), "commit", this.replica.commitIndex());
			this.replica.membership().ifPresent((group) -> group.all().forEach((id) -> this.peers.learn(id.name())));
			if (this.role != Role.LEADER) {
				abandonProposals();
			}
		}
	}

	// Carrying out effects can cause further events, whose effects come after these.
	private void carryOut() {
		if (this.carrying) {
			return;
		}
		this.carrying = true;
		try {
			while (!this.writing && !this.waiting.isEmpty()) {
				ReplicaEffects effects = this.waiting.peek();
				if (effects.persist().isPresent()) {
					write(effects.persist().get());
				}
				else {
					finish(this.waiting.poll());
				}
			}
		}
		finally {
			this.carrying = false;
		}
	}

	private void write(PersistBatch batch) {
		this.writing = true;
		this.disk.execute(() -> {
			try {
				long start = System.nanoTime();
				this.store.persist(batch);
				this.events.metrics().record("sync_millis", (System.nanoTime() - start) / MILLISECOND);
				this.loop.post(() -> written(batch));
			}
			catch (StorageException ex) {
				this.loop.post(() -> fail(ex));
			}
		});
	}

	private void written(PersistBatch batch) {
		this.writing = false;
		this.carrying = true;
		try {
			finish(this.waiting.poll());
		}
		finally {
			this.carrying = false;
		}
		handle(new ReplicaEvent.Persisted(batch.number()));
		carryOut();
	}

	private void fail(StorageException failure) {
		this.broken = true;
		this.events.log(NodeEvent.STORAGE_FAILED, "action", "stop the process", "reason", failure.getMessage());
		abandonProposals();
		// The state of the disk is unknown until the folder is opened again.
		this.loop.stop();
	}

	private void finish(ReplicaEffects effects) {
		effects.messages().forEach(this::send);
		effects.snapshotToInstall().ifPresent(this::install);
		effects.results().forEach(this::resolve);
		effects.committed().forEach(this::apply);
		compactIfLong();
	}

	private void send(Outbound outbound) {
		this.peers.send(outbound.receiver().name(), new LinkMessage.Consensus(this.replica.id(), outbound.message()));
	}

	private void resolve(ProposalResult result) {
		Consumer<Optional<FleetResult>> waitingFor = this.proposals.remove(result.proposalId());
		if (waitingFor == null) {
			return;
		}
		if (result.status() == ProposalResult.Status.APPENDED) {
			this.appended.put(result.index(), waitingFor);
		}
		else {
			waitingFor.accept(Optional.empty());
		}
	}

	private void abandonProposals() {
		List<Consumer<Optional<FleetResult>>> open = List.copyOf(this.appended.values());
		this.appended.clear();
		open.forEach((result) -> result.accept(Optional.empty()));
	}

	private void apply(LogEntry entry) {
		this.appliedIndex = entry.index();
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			this.replica.membership().ifPresent((group) -> group.all().forEach((id) -> this.peers.learn(id.name())));
		}
		if (entry.kind() != LogEntry.Kind.COMMAND) {
			return;
		}
		try {
			FleetCommand command = this.commands.decode(entry.payload());
			FleetResult result = this.state.apply(command);
			this.appliedListener.accept(command, result);
			Optional.ofNullable(this.appended.remove(entry.index()))
				.ifPresent((waitingFor) -> waitingFor.accept(Optional.of(result)));
		}
		catch (CodecException ex) {
			throw new IllegalStateException("Log entry " + entry.index() + " can't be read; the replica stops", ex);
		}
	}

	private void install(Snapshot snapshot) {
		try {
			this.state = new FleetState(this.snapshots.decode(snapshot.state()));
			this.appliedIndex = snapshot.index();
			this.snapshotIndex = snapshot.index();
			snapshot.membership().all().forEach((id) -> this.peers.learn(id.name()));
		}
		catch (CodecException ex) {
			throw new IllegalStateException("Snapshot " + snapshot.index() + " can't be read; the replica stops", ex);
		}
	}

	private void compactIfLong() {
		if (this.appliedIndex - this.snapshotIndex < SNAPSHOT_ENTRIES) {
			return;
		}
		this.snapshotIndex = this.appliedIndex;
		try {
			byte[] encoded = this.snapshots.encode(this.state.snapshot());
			long index = this.appliedIndex;
			this.loop.schedule(0, () -> handle(new ReplicaEvent.Compact(index, encoded)));
		}
		catch (CodecException ex) {
			this.events.log(NodeEvent.STORAGE_FAILED, "action", "keep the log", "reason", ex.getMessage());
		}
	}

	void close() throws IOException {
		this.peers.close();
		this.disk.shutdown();
		this.store.close();
	}

	static InetSocketAddress address(String name, int port) {
		return new InetSocketAddress(name, port);
	}

}

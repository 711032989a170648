package org.redwingramp.node.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.redwingramp.core.consensus.CompactionSchedule;
import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Outbound;
import org.redwingramp.core.consensus.PendingProposals;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.Replica;
import org.redwingramp.core.consensus.ReplicaEffects;
import org.redwingramp.core.consensus.ReplicaEvent;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Replicas;
import org.redwingramp.core.consensus.Role;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.consensus.StoredState;
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
 * Runs a replica of the consensus log: persists its entries, exchanges its messages with
 * the peers and applies committed commands to the fleet's state. Invariant: effects are
 * executed in the order of the events that caused them, and nothing is sent or applied
 * before the entries it depends on are synced to disk. Not thread safe; confined to the
 * event loop's thread, apart from disk writes, which have a thread of their own.
 */
final class ReplicaHost {

	private static final long MILLISECOND = 1_000_000L;

	/**
	 * Heartbeat interval, minimum and maximum election timeout, and maximum relative
	 * error of a clock's rate. Each heartbeat wakes up every replica, which limits the
	 * heartbeat rate. After a loss of all replicas nothing is served until a leader is
	 * elected, so election timeouts are short.
	 */
	private static final ConsensusTiming TIMING = new ConsensusTiming(80 * MILLISECOND, 300 * MILLISECOND,
			600 * MILLISECOND, 0.02);

	/**
	 * Time for which a leader's message about itself is valid. Equals three hello
	 * intervals; the leader replies to each hello message.
	 */
	private static final long REPORTED_LEADER_VALID_NANOS = 1200 * MILLISECOND;

	/** Interval between two ticks; a fraction of the heartbeat interval. */
	private static final long TICK_INTERVAL_NANOS = 40 * MILLISECOND;

	/**
	 * Number of applied entries after which the log is compacted into a snapshot, which a
	 * restarted process reads faster than the entries.
	 */
	private static final long SNAPSHOT_INTERVAL_ENTRIES = 200;

	/**
	 * Maximum size of a snapshot. It holds a configuration of the maximum size of a
	 * command besides all targets, keys and digests.
	 */
	private static final int MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024;

	private final EventLoop loop;

	private final EventWriter events;

	private final ReplicaStore store;

	private final Replica replica;

	private final PeerLinks peers;

	private final long startedNanos;

	private final ExecutorService diskExecutor;

	private final RecordCodec<FleetCommand> commandCodec = RecordCodec.of(FleetCommand.class);

	private final RecordCodec<FleetSnapshot> snapshotCodec = RecordCodec.of(FleetSnapshot.class, MAX_SNAPSHOT_BYTES);

	// Effects that aren't executed yet, in the order of their events. While a disk write
	// runs, it persists the entries that the first of them depends on.
	private final Deque<ReplicaEffects> pendingEffects = new ArrayDeque<>();

	private final PendingProposals<Consumer<Optional<FleetResult>>> proposals = new PendingProposals<>();

	private final CompactionSchedule compaction = new CompactionSchedule(SNAPSHOT_INTERVAL_ENTRIES);

	// Replicas to which a message couldn't be sent, each of which is logged once.
	private final Set<String> loggedSendFailures = new HashSet<>();

	private BiConsumer<FleetCommand, FleetResult> appliedListener = (command, result) -> {
	};

	private FleetState state = new FleetState(FleetSnapshot.EMPTY);

	private Role role = Role.BLANK;

	private long appliedIndex;

	private long appliedTerm;

	// The last entry that was stored when this process started.
	private final long storedIndex;

	private final long storedTerm;

	private Optional<String> reportedLeader = Optional.empty();

	private long reportedLeaderNanos;

	private boolean writing;

	private boolean executing;

	// Whether this replica must do nothing more, since its disk failed or its state would
	// differ from that of the others.
	private boolean failed;

	// The executor runs the disk writes one after the other.
	ReplicaHost(EventLoop loop, ControlSettings settings, EventWriter events, ExecutorService diskExecutor)
			throws StorageException {
		this(loop, settings, events, diskExecutor, openStore(settings, events));
	}

	// The replica owns the store from here on.
	ReplicaHost(EventLoop loop, ControlSettings settings, EventWriter events, ExecutorService diskExecutor,
			ReplicaStore store) throws StorageException {
		this.loop = loop;
		this.events = events;
		this.diskExecutor = diskExecutor;
		this.startedNanos = settings.startedNanos();
		this.store = store;
		List<String> founders = isFounder(settings) ? settings.seeds() : List.of();
		StoredState stored = this.store.load();
		Optional<LogEntry> last = stored.entries().stream().reduce((former, latter) -> latter);
		this.storedIndex = last.map(LogEntry::index).orElse(0L);
		this.storedTerm = last.map(LogEntry::term).orElse(0L);
		this.replica = Replicas.createOpen(stored, founders, settings.voters(), TIMING, new SecureRandom());
		this.peers = new PeerLinks(loop, settings, this::hello, this::received, events);
	}

	private static ReplicaStore openStore(ControlSettings settings, EventWriter events) throws StorageException {
		try {
			return ReplicaStore.open(settings.dataFolder(), settings.name(), new SecureRandom());
		}
		catch (CorruptStorageException ex) {
			events.log(NodeEvent.STORAGE_FAILED, "action", "start empty", "reason", ex.getMessage());
			return ReplicaStore.reset(settings.dataFolder(), settings.name(), new SecureRandom());
		}
	}

	private static boolean isFounder(ControlSettings settings) {
		return settings.mayFormGroup() && settings.seeds().contains(settings.name());
	}

	void start(BiConsumer<FleetCommand, FleetResult> listener) {
		this.appliedListener = listener;
		this.loop.repeat(TICK_INTERVAL_NANOS, () -> handle(new ReplicaEvent.Tick()));
		// The first election timeout begins at the start of the process, not here: the
		// replica can't have received a leader's message since then, so the time taken to
		// open the data folder counts towards the timeout.
		handle(new ReplicaEvent.Tick(), this.startedNanos);
		this.peers.start();
	}

	void addPeers(List<String> names) {
		names.forEach(this.peers::addPeer);
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

	long logBytes() {
		return this.replica.logBytes();
	}

	// A replica that isn't a voter receives no messages about elections, so it relies on
	// the last message in which a leader named itself.
	Optional<String> leader() {
		boolean voter = this.replica.membership()
			.filter((group) -> group.voters().contains(this.replica.id()))
			.isPresent();
		boolean recent = System.nanoTime() - this.reportedLeaderNanos < REPORTED_LEADER_VALID_NANOS;
		return this.replica.leader()
			.map(ReplicaId::name)
			.or(() -> this.reportedLeader.filter((name) -> !voter && recent));
	}

	List<String> replicaNames() {
		return this.peers.replicaNames();
	}

	// Returns whether the entry that is being applied was stored when this process
	// started, so that it may have been committed long ago.
	boolean appliesStored() {
		return this.appliedIndex <= this.storedIndex && this.appliedTerm <= this.storedTerm;
	}

	// Returns whether this replica leads and has applied all committed entries to its
	// state.
	boolean upToDate() {
		return !this.failed && this.replica.mayRead(System.nanoTime())
				&& this.appliedIndex >= this.replica.commitIndex();
	}

	boolean leads() {
		return !this.failed && this.replica.role() == Role.LEADER;
	}

	// Returns whether this replica leads and holds the leader lease, so that no other
	// replica can act as leader.
	boolean mayAct() {
		return !this.failed && this.replica.mayRead(System.nanoTime());
	}

	// Proposes a command. The result is empty if it is unknown whether the command will
	// be committed.
	void propose(FleetCommand command, Consumer<Optional<FleetResult>> result) {
		if (this.failed) {
			result.accept(Optional.empty());
			return;
		}
		try {
			byte[] encoded = this.commandCodec.encode(command);
			// A committed entry that can't be decoded stops every replica.
			this.commandCodec.decode(encoded);
			handle(new ReplicaEvent.Propose(this.proposals.add(result), System.currentTimeMillis(), encoded));
		}
		catch (CodecException ex) {
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "encode command", "command",
					command.getClass().getSimpleName(), "reason", ex.getMessage());
			result.accept(Optional.empty());
		}
	}

	void received(LinkMessage message) {
		if (message instanceof LinkMessage.ReplicaHello hello) {
			this.peers.addPeer(hello.replica().name());
			handle(new ReplicaEvent.PeerDiscovered(hello.replica(), hello.blank()));
		}
		else if (message instanceof LinkMessage.LeaderInfo info && info.leading()) {
			this.reportedLeader = Optional.of(info.leader());
			this.reportedLeaderNanos = System.nanoTime();
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
		if (this.failed) {
			return;
		}
		ReplicaEffects effects = this.replica.handle(event, now);
		updateRole();
		if (effects != ReplicaEffects.NONE) {
			this.pendingEffects.add(effects);
			executePending();
		}
	}

	private void updateRole() {
		if (this.replica.role() != this.role) {
			this.role = this.replica.role();
			this.events.log(NodeEvent.ROLE_CHANGED, "role", this.role, "term", this.replica.term(), "leader",
					leader().orElse(""), "commit", this.replica.commitIndex());
			this.replica.membership().ifPresent((group) -> group.all().forEach((id) -> this.peers.addPeer(id.name())));
			if (this.role != Role.LEADER) {
				abandonProposals();
			}
		}
	}

	// Executes the pending effects up to the first that must be persisted. The execution
	// can cause further events, whose effects are queued after the present ones.
	private void executePending() {
		if (this.executing) {
			return;
		}
		this.executing = true;
		try {
			while (!this.failed && !this.writing && !this.pendingEffects.isEmpty()) {
				ReplicaEffects effects = this.pendingEffects.peek();
				if (effects.persist().isPresent()) {
					persist(effects.persist().get());
				}
				else {
					execute(this.pendingEffects.poll());
				}
			}
		}
		finally {
			this.executing = false;
		}
	}

	private void persist(PersistBatch batch) {
		this.writing = true;
		this.diskExecutor.execute(() -> {
			try {
				long start = System.nanoTime();
				this.store.persist(batch);
				this.events.metrics().record("sync_millis", (System.nanoTime() - start) / MILLISECOND);
				this.loop.post(() -> persisted(batch));
			}
			catch (StorageException ex) {
				this.loop.post(() -> fail(NodeEvent.STORAGE_FAILED, ex.getMessage()));
			}
			catch (RuntimeException | Error ex) {
				// Whether the batch is on disk is unknown, and no later write may follow
				// it.
				this.loop.post(() -> fail(NodeEvent.STORAGE_FAILED, "disk write " + batch.number() + ": " + ex));
			}
		});
	}

	private void persisted(PersistBatch batch) {
		this.writing = false;
		this.executing = true;
		try {
			execute(this.pendingEffects.poll());
		}
		finally {
			this.executing = false;
		}
		handle(new ReplicaEvent.Persisted(batch.number()));
		executePending();
	}

	// Stops the process: what a failed disk holds is unknown until the folder is opened
	// again, and a replica that can't apply an entry has another state than the others.
	private void fail(NodeEvent event, String reason) {
		this.failed = true;
		this.events.log(event, "action", "stop the process", "reason", reason);
		abandonProposals();
		this.loop.stop();
	}

	// Later effects rely on these, so the replica stops if they can't all be executed.
	private void execute(ReplicaEffects effects) {
		try {
			effects.messages().forEach(this::send);
			effects.snapshotToInstall().ifPresent(this::installSnapshot);
			effects.results()
				.forEach((result) -> this.proposals.resolved(result)
					.ifPresent((handler) -> notify("reply to a proposal", () -> handler.accept(Optional.empty()))));
			effects.committed().forEach(this::apply);
			compactIfDue();
		}
		catch (RuntimeException | Error ex) {
			fail(NodeEvent.UNEXPECTED_FAILURE,
					"effects after log entry " + this.appliedIndex + " can't be executed (" + ex + ")");
		}
	}

	// A message that can't be sent counts as lost, which the consensus tolerates.
	private void send(Outbound outbound) {
		String receiver = outbound.receiver().name();
		try {
			this.peers.send(receiver, new LinkMessage.Consensus(this.replica.id(), outbound.message()));
		}
		catch (RuntimeException ex) {
			this.events.metrics().count("failed_work", "send to replica");
			if (this.loggedSendFailures.add(receiver)) {
				this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "send to replica", "element", receiver, "failure",
						ex);
			}
		}
	}

	// Reports an unknown result for each proposal that isn't committed, including those
	// whose results still wait for the disk: this replica may no longer learn of their
	// outcome.
	private void abandonProposals() {
		List<Consumer<Optional<FleetResult>>> abandoned = this.proposals.abandonAll();
		if (!abandoned.isEmpty()) {
			this.events.log(NodeEvent.PROPOSALS_ABANDONED, "proposals", abandoned.size(), "term", this.replica.term(),
					"applied", this.appliedIndex, "writing", this.writing, "queued-effects",
					this.pendingEffects.size());
		}
		abandoned.forEach((result) -> notify("reply to a proposal", () -> result.accept(Optional.empty())));
	}

	private void apply(LogEntry entry) {
		if (this.failed) {
			return;
		}
		this.appliedIndex = entry.index();
		this.appliedTerm = entry.term();
		this.compaction.applied(entry);
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			this.replica.membership().ifPresent((group) -> group.all().forEach((id) -> this.peers.addPeer(id.name())));
		}
		if (entry.kind() != LogEntry.Kind.COMMAND) {
			return;
		}
		FleetCommand command;
		FleetResult result;
		try {
			command = this.commandCodec.decode(entry.payload());
			result = this.state.apply(command);
		}
		catch (CodecException ex) {
			fail(NodeEvent.UNEXPECTED_FAILURE, "committed log entry " + entry.index() + " can't be decoded ("
					+ ex.getMessage() + "); it may come from a newer version");
			return;
		}
		catch (RuntimeException ex) {
			// The state may be changed in part, so it differs from that of the others.
			fail(NodeEvent.UNEXPECTED_FAILURE, "committed log entry " + entry.index() + " can't be applied (" + ex
					+ "); it may come from another version");
			return;
		}
		Optional<Consumer<Optional<FleetResult>>> proposer = this.proposals.committed(entry);
		notify("follow a committed entry", () -> this.appliedListener.accept(command, result));
		proposer.ifPresent((handler) -> notify("reply to a proposal", () -> handler.accept(Optional.of(result))));
	}

	// The state and the entries that follow don't depend on what is done with a result.
	private void notify(String duty, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			this.events.metrics().count("failed_work", duty);
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", duty, "entry", this.appliedIndex, "failure", ex);
		}
	}

	private void installSnapshot(Snapshot snapshot) {
		try {
			this.state = new FleetState(this.snapshotCodec.decode(snapshot.state()));
			this.appliedIndex = snapshot.index();
			this.compaction.restart();
			snapshot.membership().all().forEach((id) -> this.peers.addPeer(id.name()));
		}
		catch (CodecException ex) {
			fail(NodeEvent.UNEXPECTED_FAILURE, "snapshot up to log entry " + snapshot.index() + " can't be decoded ("
					+ ex.getMessage() + "); it may come from a newer version");
		}
	}

	private void compactIfDue() {
		if (this.failed || !this.compaction.due()) {
			return;
		}
		this.compaction.restart();
		try {
			byte[] encoded = this.snapshotCodec.encode(this.state.snapshot());
			long index = this.appliedIndex;
			this.loop.schedule(0, () -> handle(new ReplicaEvent.Compact(index, encoded)));
		}
		catch (CodecException ex) {
			this.events.log(NodeEvent.STORAGE_FAILED, "action", "skip the compaction", "reason", ex.getMessage());
		}
	}

	void close() throws IOException {
		this.peers.close();
		this.diskExecutor.shutdown();
		this.store.close();
	}

	static InetSocketAddress address(String name, int port) {
		return new InetSocketAddress(name, port);
	}

}

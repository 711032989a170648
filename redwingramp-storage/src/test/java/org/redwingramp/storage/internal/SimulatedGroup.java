package org.redwingramp.storage.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import org.redwingramp.core.consensus.Outbound;
import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaEvent;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Role;
import org.redwingramp.storage.StorageException;

/**
 * An open group of simulated replicas on a network that delays and loses messages.
 * Deterministic: one seed determines all. Checks after each step that no two replicas
 * apply different commands, that nothing applied by a replica is missing from the state
 * of a leader that may answer reads, and that no term has two leaders. Not thread safe.
 */
final class SimulatedGroup {

	private static final long MILLISECOND = 1_000_000L;

	private static final int STEPS_BETWEEN_HELLOS = 100;

	private final Map<String, SimulatedReplica> replicas = new TreeMap<>();

	private final Map<String, MemoryFiles> disksWithoutPower = new TreeMap<>();

	private final Map<Long, ReplicaId> leaderByTerm = new HashMap<>();

	private final Set<String> clusters = new HashSet<>();

	private final Set<String> isolated = new HashSet<>();

	private final PriorityQueue<Packet> packets = new PriorityQueue<>(
			Comparator.comparingLong(Packet::time).thenComparingLong(Packet::number));

	private final List<String> acknowledged = new ArrayList<>();

	private final Random random;

	private final List<String> names = new ArrayList<>();

	private final int voters;

	private long now = 1000 * MILLISECOND;

	private long packetCount;

	private long commandCount;

	SimulatedGroup(long seed, int voters) throws StorageException {
		this.random = new Random(seed);
		this.voters = voters;
		List<String> founders = List.of("a", "b", "c", "d", "e").subList(0, voters);
		for (String name : founders) {
			add(name, founders);
		}
	}

	// Adds an empty replica under a new name, which may join the group.
	void addSpare(String name) throws StorageException {
		add(name, List.of());
	}

	private void add(String name, List<String> founders) throws StorageException {
		this.names.add(name);
		start(name, new MemoryFiles(), founders);
	}

	// Removes a replica together with its disk, for good.
	void remove(String name) {
		this.names.remove(name);
		this.replicas.remove(name);
	}

	Random random() {
		return this.random;
	}

	List<String> acknowledged() {
		return List.copyOf(this.acknowledged);
	}

	Optional<SimulatedReplica> leader() {
		return this.replicas.values()
			.stream()
			.filter((replica) -> replica.replica().mayRead(this.now))
			.filter((replica) -> replica.appliedIndex() >= replica.replica().commitIndex())
			.findFirst();
	}

	SimulatedReplica replica(String name) {
		return this.replicas.get(name);
	}

	List<String> names() {
		return List.copyOf(this.names);
	}

	void propose() throws StorageException {
		for (SimulatedReplica replica : List.copyOf(this.replicas.values())) {
			if (replica.replica().role() == Role.LEADER) {
				byte[] command = ("command-" + ++this.commandCount).getBytes(StandardCharsets.UTF_8);
				replica.handle(new ReplicaEvent.Propose(this.commandCount, 0, command), this.now);
				observe(replica);
			}
		}
	}

	// Cuts a replica off from the others, so that it falls behind.
	void isolate(String name) {
		this.isolated.add(name);
	}

	void heal() {
		this.isolated.clear();
	}

	// All replicas lose power; those that are named lose their disks as well.
	void losePower(Set<String> disksToLose) {
		this.replicas.forEach((name, replica) -> this.disksWithoutPower.put(name,
				disksToLose.contains(name) ? new MemoryFiles() : replica.losePower()));
		this.replicas.clear();
		this.packets.clear();
		this.isolated.clear();
	}

	// Starts all replicas again, at different times, with settings that don't allow them
	// to form a group.
	void restorePower() throws StorageException {
		List<String> order = new ArrayList<>(this.disksWithoutPower.keySet());
		Collections.shuffle(order, this.random);
		for (String name : order) {
			start(name, this.disksWithoutPower.remove(name), List.of());
			run(this.random.nextInt(200));
		}
	}

	void run(long millis) throws StorageException {
		for (long i = 0; i < millis; i++) {
			step();
		}
	}

	// Proposes commands until several replicas are compacting at once, which they do at
	// the same entries.
	void runUntilCompacting(long limitMillis) throws StorageException {
		for (long i = 0; i < limitMillis; i++) {
			if (this.replicas.values().stream().filter(SimulatedReplica::compacting).count() > 1) {
				return;
			}
			if (i % 5 == 0) {
				propose();
			}
			step();
		}
	}

	void runUntil(String description, long limitMillis, BooleanSupplier condition) throws StorageException {
		for (long i = 0; !condition.getAsBoolean(); i++) {
			if (i >= limitMillis) {
				throw new AssertionError("no " + description + " within " + limitMillis + " ms");
			}
			step();
		}
	}

	// Returns whether all voters run and hold everything that is committed.
	boolean complete() {
		return leader()
			.filter((leader) -> leader.replica()
				.membership()
				.filter((group) -> group.voters().size() == this.voters && group.learners().isEmpty())
				.filter((group) -> group.voters().stream().allMatch((voter) -> holdsAll(voter, leader)))
				.isPresent())
			.isPresent();
	}

	private boolean holdsAll(ReplicaId voter, SimulatedReplica leader) {
		SimulatedReplica replica = this.replicas.get(voter.name());
		return replica != null && replica.id().equals(voter)
				&& replica.replica().membership().equals(leader.replica().membership())
				&& replica.replica().commitIndex() == leader.replica().commitIndex();
	}

	private void start(String name, MemoryFiles disk, List<String> founders) throws StorageException {
		this.replicas.put(name,
				SimulatedReplica.start(name, disk, founders, this.voters, new Random(this.random.nextLong())));
	}

	private void step() throws StorageException {
		this.now += MILLISECOND;
		while (!this.packets.isEmpty() && this.packets.peek().time() <= this.now) {
			deliver(this.packets.remove());
		}
		boolean hello = this.now / MILLISECOND % STEPS_BETWEEN_HELLOS == 0;
		for (SimulatedReplica replica : List.copyOf(this.replicas.values())) {
			if ((this.now / MILLISECOND + replica.id().name().hashCode()) % 10 == 0) {
				replica.handle(new ReplicaEvent.Tick(), this.now);
			}
			replica.run(this.now);
			observe(replica);
			if (hello) {
				sendHello(replica);
			}
		}
	}

	private void deliver(Packet packet) throws StorageException {
		// As in production, a message reaches the replica that now has the receiver's
		// name.
		SimulatedReplica receiver = this.replicas.get(packet.receiver());
		if (receiver != null && !this.isolated.contains(packet.receiver())) {
			receiver.handle(packet.event(), this.now);
			observe(receiver);
		}
	}

	private void sendHello(SimulatedReplica sender) {
		ReplicaEvent event = new ReplicaEvent.PeerDiscovered(sender.id(), sender.replica().role() == Role.BLANK);
		this.names.stream()
			.filter((name) -> !name.equals(sender.id().name()))
			.forEach((name) -> transmit(sender, name, event));
	}

	private void observe(SimulatedReplica replica) {
		for (Outbound outbound : replica.takeOutbox()) {
			PeerMessage message = outbound.message();
			transmit(replica, outbound.receiver().name(), new ReplicaEvent.Received(replica.id(), message));
		}
		checkState(replica);
		checkLeadership(replica);
	}

	private void transmit(SimulatedReplica sender, String receiver, ReplicaEvent event) {
		if (!this.isolated.contains(sender.id().name()) && this.random.nextInt(50) > 0) {
			long delay = 1 + this.random.nextInt(4);
			this.packets.add(new Packet(this.now + delay * MILLISECOND, ++this.packetCount, receiver, event));
		}
	}

	private void checkState(SimulatedReplica replica) {
		List<String> applied = replica.applied();
		int common = Math.min(applied.size(), this.acknowledged.size());
		if (!applied.subList(0, common).equals(this.acknowledged.subList(0, common))) {
			throw new AssertionError(replica.id() + " applied " + applied + ", but others " + this.acknowledged);
		}
		this.acknowledged.addAll(applied.subList(common, applied.size()));
	}

	private void checkLeadership(SimulatedReplica replica) {
		replica.replica().membership().ifPresent((group) -> this.clusters.add(group.clusterId()));
		if (this.clusters.size() > 1) {
			throw new AssertionError("more than one group was formed: " + this.clusters);
		}
		if (replica.replica().role() == Role.LEADER) {
			ReplicaId known = this.leaderByTerm.putIfAbsent(replica.replica().term(), replica.id());
			if (known != null && !known.equals(replica.id())) {
				throw new AssertionError(
						"term " + replica.replica().term() + " has the leaders " + known + " and " + replica.id());
			}
		}
		boolean answersReads = replica.replica().mayRead(this.now)
				&& replica.appliedIndex() >= replica.replica().commitIndex();
		if (answersReads && replica.applied().size() != this.acknowledged.size()) {
			throw new AssertionError("leader " + replica.id() + " shows " + replica.applied() + ", acknowledged were "
					+ this.acknowledged);
		}
	}

	private record Packet(long time, long number, String receiver, ReplicaEvent event) {
	}

}

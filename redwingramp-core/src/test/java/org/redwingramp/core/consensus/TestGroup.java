package org.redwingramp.core.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * A group of replicas on a simulated, deterministic network with a simulated clock.
 * Messages take 1 ms unless a test changes {@link #delay}.
 */
final class TestGroup {

	static final long NANOS_PER_MS = 1_000_000;

	final Map<String, TestNode> nodes = new TreeMap<>();

	final List<Outbound> sent = new ArrayList<>();

	Predicate<Outbound> drops = (message) -> false;

	ToLongFunction<Outbound> delay = (message) -> NANOS_PER_MS;

	int copiesPerMessage = 1;

	long now = 1000 * NANOS_PER_MS;

	private final List<String> names;

	private final Random random;

	private final Set<String> cutLinks = new HashSet<>();

	private final PriorityQueue<Packet> packets = new PriorityQueue<>(
			Comparator.comparingLong(Packet::time).thenComparingLong(Packet::number));

	private long number;

	private long proposals;

	private int groupSize = 3;

	TestGroup(long seed, String... names) {
		this.random = new Random(seed);
		this.names = List.of(names);
		this.names.forEach(this::replaceDisk);
	}

	// Returns a group that has formed and elected a leader.
	static TestGroup formed(long seed, String... names) {
		TestGroup group = new TestGroup(seed, names);
		group.run(2000);
		return group;
	}

	// Returns a group without a fixed list of names.
	static TestGroup open(long seed, String... founders) {
		return open(seed, 3, founders);
	}

	static TestGroup open(long seed, int groupSize, String... founders) {
		TestGroup group = new TestGroup(seed);
		group.groupSize = groupSize;
		List.of(founders).forEach((name) -> group.join(name, List.of(founders)));
		group.run(2000);
		return group;
	}

	TestNode join(String name, List<String> founders) {
		TestDisk disk = new TestDisk(new ReplicaId(name, this.random.nextLong()));
		TestNode node = new TestNode(disk, Replicas.createOpen(disk.stored(), founders, this.groupSize,
				ConsensusTiming.DEFAULT, new Random(this.random.nextLong())));
		this.nodes.put(name, node);
		return node;
	}

	TestNode node(String name) {
		return this.nodes.get(name);
	}

	TestNode leader() {
		return leaders().stream().max(Comparator.comparingLong((node) -> node.replica.term())).orElseThrow();
	}

	List<TestNode> leaders() {
		return this.nodes.values()
			.stream()
			.filter((node) -> node.running && node.replica.role() == Role.LEADER)
			.toList();
	}

	List<TestNode> others(TestNode excluded) {
		return this.nodes.values().stream().filter((node) -> node != excluded).toList();
	}

	boolean mayRead(TestNode node) {
		return node.running && node.replica.mayRead(node.clock(this.now));
	}

	void propose(TestNode node, String text) {
		node.handle(new ReplicaEvent.Propose(++this.proposals, 0, text.getBytes(StandardCharsets.UTF_8)), this.now);
		transmitOutbox(node);
	}

	void compact(TestNode node) {
		node.handle(new ReplicaEvent.Compact(node.replica.commitIndex(), node.state()), this.now);
		transmitOutbox(node);
	}

	void isolate(TestNode node) {
		others(node).forEach((other) -> {
			cut(node, other);
			cut(other, node);
		});
	}

	void cut(TestNode from, TestNode to) {
		this.cutLinks.add(from.id().name() + ">" + to.id().name());
	}

	void heal() {
		this.cutLinks.clear();
	}

	void crash(TestNode node) {
		node.running = false;
	}

	TestNode restart(TestNode node) {
		return start(node.disk);
	}

	TestNode replaceDisk(String name) {
		return start(new TestDisk(new ReplicaId(name, this.random.nextLong())));
	}

	void resume(TestNode node) {
		node.paused = false;
		while (!node.backlog.isEmpty()) {
			node.handle(node.backlog.remove(), this.now);
		}
		transmitOutbox(node);
	}

	// Advances the time until a condition holds.
	void runUntil(String description, Predicate<TestGroup> condition) {
		for (int i = 0; i < 10_000; i++) {
			if (condition.test(this)) {
				return;
			}
			run(1);
		}
		throw new AssertionError("condition not met within 10 s of simulated time: " + description);
	}

	void run(long millis) {
		for (long i = 0; i < millis; i++) {
			this.now += NANOS_PER_MS;
			deliver();
			boolean reportsPeers = this.now / NANOS_PER_MS % 100 == 0;
			for (TestNode node : this.nodes.values()) {
				if ((this.now / NANOS_PER_MS + node.id().name().hashCode()) % 10 == 0) {
					node.handle(new ReplicaEvent.Tick(), this.now);
				}
				node.carryOutEffects(this.now);
				transmitOutbox(node);
				if (reportsPeers) {
					reportPeersTo(node);
				}
			}
		}
	}

	Optional<TestNode> byId(ReplicaId id) {
		return Optional.ofNullable(this.nodes.get(id.name())).filter((node) -> node.id().equals(id));
	}

	private TestNode start(TestDisk disk) {
		TestNode node = new TestNode(disk, this.names, this.random.nextLong());
		this.nodes.put(node.id().name(), node);
		return node;
	}

	private void reportPeersTo(TestNode node) {
		others(node).stream()
			.filter((other) -> other.running && !isCut(other, node) && !isCut(node, other))
			.forEach((other) -> node
				.handle(new ReplicaEvent.PeerDiscovered(other.id(), other.replica.role() == Role.BLANK), this.now));
	}

	private void deliver() {
		while (!this.packets.isEmpty() && this.packets.peek().time() <= this.now) {
			Packet packet = this.packets.remove();
			byId(packet.receiver()).ifPresent((node) -> {
				node.handle(new ReplicaEvent.Received(packet.sender(), packet.message()), this.now);
				transmitOutbox(node);
			});
		}
	}

	private void transmitOutbox(TestNode node) {
		node.outbox.forEach((message) -> transmit(node, message));
		node.outbox.clear();
	}

	private void transmit(TestNode sender, Outbound message) {
		this.sent.add(message);
		Optional<TestNode> receiver = byId(message.receiver());
		if (!sender.running || receiver.isEmpty() || isCut(sender, receiver.get()) || this.drops.test(message)) {
			return;
		}
		for (int i = 0; i < this.copiesPerMessage; i++) {
			this.packets.add(new Packet(this.now + this.delay.applyAsLong(message), ++this.number, sender.id(),
					message.receiver(), message.message()));
		}
	}

	private boolean isCut(TestNode from, TestNode to) {
		return this.cutLinks.contains(from.id().name() + ">" + to.id().name());
	}

	private record Packet(long time, long number, ReplicaId sender, ReplicaId receiver, PeerMessage message) {
	}

}

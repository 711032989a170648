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
 * A deterministic network of replicas. Messages take 1 ms unless a test says otherwise.
 */
final class TestGroup {

	static final long MS = 1_000_000;

	final Map<String, TestNode> nodes = new TreeMap<>();

	final List<Outbound> sent = new ArrayList<>();

	Predicate<Outbound> loses = (message) -> false;

	ToLongFunction<Outbound> delay = (message) -> MS;

	int copies = 1;

	long now = 1000 * MS;

	private final List<String> names;

	private final Random random;

	private final Set<String> cuts = new HashSet<>();

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

	// A group that has formed and elected a leader.
	static TestGroup formed(long seed, String... names) {
		TestGroup group = new TestGroup(seed, names);
		group.run(2000);
		return group;
	}

	// A group without a fixed list of names.
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

	boolean reads(TestNode node) {
		return node.running && node.replica.mayRead(node.clock(this.now));
	}

	void propose(TestNode node, String text) {
		node.handle(new ReplicaEvent.Propose(++this.proposals, 0, text.getBytes(StandardCharsets.UTF_8)), this.now);
		flush(node);
	}

	void compact(TestNode node) {
		node.handle(new ReplicaEvent.Compact(node.replica.commitIndex(), node.state()), this.now);
		flush(node);
	}

	void isolate(TestNode node) {
		others(node).forEach((other) -> {
			cut(node, other);
			cut(other, node);
		});
	}

	void cut(TestNode from, TestNode to) {
		this.cuts.add(from.id().name() + ">" + to.id().name());
	}

	void heal() {
		this.cuts.clear();
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
		flush(node);
	}

	// Runs until a condition holds.
	void until(String what, Predicate<TestGroup> condition) {
		for (int i = 0; i < 10_000; i++) {
			if (condition.test(this)) {
				return;
			}
			run(1);
		}
		throw new AssertionError("not reached within 10 s: " + what);
	}

	void run(long millis) {
		for (long i = 0; i < millis; i++) {
			this.now += MS;
			deliver();
			boolean introduces = this.now / MS % 100 == 0;
			for (TestNode node : this.nodes.values()) {
				if ((this.now / MS + node.id().name().hashCode()) % 10 == 0) {
					node.handle(new ReplicaEvent.Tick(), this.now);
				}
				node.carryOut(this.now);
				flush(node);
				if (introduces) {
					introduce(node);
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

	private void introduce(TestNode node) {
		others(node).stream()
			.filter((other) -> other.running && !severed(other, node) && !severed(node, other))
			.forEach((other) -> node.handle(new ReplicaEvent.PeerSeen(other.id(), other.replica.role() == Role.BLANK),
					this.now));
	}

	private void deliver() {
		while (!this.packets.isEmpty() && this.packets.peek().time() <= this.now) {
			Packet packet = this.packets.remove();
			byId(packet.receiver()).ifPresent((node) -> {
				node.handle(new ReplicaEvent.Received(packet.sender(), packet.message()), this.now);
				flush(node);
			});
		}
	}

	private void flush(TestNode node) {
		node.outbox.forEach((message) -> post(node, message));
		node.outbox.clear();
	}

	private void post(TestNode sender, Outbound message) {
		this.sent.add(message);
		Optional<TestNode> receiver = byId(message.receiver());
		if (!sender.running || receiver.isEmpty() || severed(sender, receiver.get()) || this.loses.test(message)) {
			return;
		}
		for (int i = 0; i < this.copies; i++) {
			this.packets.add(new Packet(this.now + this.delay.applyAsLong(message), ++this.number, sender.id(),
					message.receiver(), message.message()));
		}
	}

	private boolean severed(TestNode from, TestNode to) {
		return this.cuts.contains(from.id().name() + ">" + to.id().name());
	}

	private record Packet(long time, long number, ReplicaId sender, ReplicaId receiver, PeerMessage message) {
	}

}

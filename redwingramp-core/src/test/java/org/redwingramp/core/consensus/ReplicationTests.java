package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests log replication. Guards against lost, reordered or prematurely committed entries
 * and against unbounded memory use.
 */
class ReplicationTests {

	@Test
	void shouldCommitOnAllReplicasInOrder() {
		TestGroup group = TestGroup.formed(1, "a", "b", "c");
		IntStream.range(0, 500).forEach((i) -> group.propose(group.leader(), "x" + i));
		group.run(500);
		List<String> expected = IntStream.range(0, 500).mapToObj((i) -> "x" + i).toList();
		assertThat(group.nodes.values()).allSatisfy((node) -> assertThat(node.applied).isEqualTo(expected));
	}

	@Test
	void shouldCountLeadersOwnEntryOnlyOnceSynced() {
		TestGroup group = TestGroup.formed(2, "a", "b", "c");
		TestNode leader = group.leader();
		TestNode stopped = group.others(leader).get(0);
		group.crash(stopped);
		Replica replica = leader.replica;
		long index = replica.commitIndex();
		replica.handle(new ReplicaEvent.Propose(77, 0, new byte[1]), group.now);
		TestNode follower = group.others(leader).get(1);
		replica.handle(new ReplicaEvent.Received(follower.id(),
				new PeerMessage.AppendReply(replica.term(), group.now, true, index + 1)), group.now);
		assertThat(replica.commitIndex()).isEqualTo(index);
		ReplicaEffects effects = replica.handle(new ReplicaEvent.Persisted(Long.MAX_VALUE), group.now);
		assertThat(effects.committed()).hasSize(1);
	}

	@Test
	void shouldAcknowledgeOnlySyncedEntries() {
		TestGroup group = TestGroup.formed(3, "a", "b", "c");
		TestNode leader = group.leader();
		group.others(leader).forEach((node) -> node.syncing = false);
		group.propose(leader, "x");
		group.run(100);
		assertThat(leader.applied).isEmpty();
		group.others(leader).forEach((node) -> node.syncing = true);
		group.run(100);
		assertThat(leader.applied).containsExactly("x");
	}

	@Test
	void shouldSurviveReorderedDuplicatedAndLostMessages() {
		for (long seed = 0; seed < 20; seed++) {
			TestGroup group = TestGroup.formed(seed, "a", "b", "c");
			Random random = new Random(seed);
			group.copiesPerMessage = 2;
			group.delay = (message) -> (1 + random.nextInt(60)) * TestGroup.NANOS_PER_MS;
			group.drops = (message) -> random.nextInt(5) == 0;
			for (int i = 0; i < 200; i++) {
				int number = i;
				group.leaders().forEach((node) -> group.propose(node, "x" + number));
				group.run(10);
			}
			group.copiesPerMessage = 1;
			group.delay = (message) -> TestGroup.NANOS_PER_MS;
			group.drops = (message) -> false;
			group.run(3000);
			List<String> applied = group.leader().applied;
			assertThat(applied).doesNotHaveDuplicates().hasSizeGreaterThan(20);
			assertThat(group.nodes.values()).allSatisfy((node) -> assertThat(node.applied).isEqualTo(applied));
		}
	}

	@Test
	void shouldKeepCommittedAndDiscardUncommittedEntriesAfterAPartition() {
		TestGroup group = TestGroup.formed(4, "a", "b", "c");
		TestNode formerLeader = group.leader();
		group.propose(formerLeader, "kept");
		group.run(100);
		group.isolate(formerLeader);
		group.propose(formerLeader, "lost");
		group.runUntil("new leader", (all) -> all.leaders().stream().anyMatch((node) -> node != formerLeader));
		group.propose(group.leader(), "new");
		group.run(600);
		group.heal();
		group.run(1000);
		assertThat(group.nodes.values()).allSatisfy((node) -> assertThat(node.applied).containsExactly("kept", "new"));
		assertThat(formerLeader.results).extracting(ProposalResult::status)
			.containsExactly(ProposalResult.Status.APPENDED, ProposalResult.Status.APPENDED,
					ProposalResult.Status.LOST_LEADERSHIP);
	}

	@Test
	void shouldRejectProposalsBeyondTheSizeLimitAndOnFollowers() {
		TestGroup group = TestGroup.formed(5, "a", "b", "c");
		TestNode leader = group.leader();
		group.isolate(leader);
		String large = "y".repeat(100_000);
		IntStream.range(0, 100).forEach((i) -> group.propose(leader, large));
		assertThat(leader.results).filteredOn((result) -> result.status() == ProposalResult.Status.OVERLOADED)
			.hasSizeBetween(55, 65);
		TestNode follower = group.others(leader).get(0);
		group.propose(follower, "x");
		assertThat(follower.results).last()
			.extracting(ProposalResult::status)
			.isEqualTo(ProposalResult.Status.NOT_LEADER);
	}

	@Test
	void shouldBoundTheSizeOfMessages() {
		TestGroup group = TestGroup.formed(6, "a", "b", "c");
		TestNode leader = group.leader();
		TestNode lagging = group.others(leader).get(0);
		group.isolate(lagging);
		IntStream.range(0, 200).forEach((i) -> {
			group.propose(leader, "y".repeat(50_000) + i);
			group.run(5);
		});
		group.heal();
		group.runUntil("lagging replica caught up", (all) -> lagging.applied.size() == 200);
		assertThat(group.sent).map(Outbound::message)
			.filteredOn(PeerMessage.AppendRequest.class::isInstance)
			.allSatisfy((message) -> assertThat(((PeerMessage.AppendRequest) message).entries()
				.stream()
				.mapToInt((entry) -> entry.payload().length)
				.sum()).isLessThanOrEqualTo(256 * 1024));
	}

	@Test
	void shouldNeverDecreaseClockOfEntries() {
		TestGroup group = TestGroup.formed(7, "a", "b", "c");
		TestNode leader = group.leader();
		for (long clock : new long[] { 1000, 500, 2000, 0 }) {
			leader.handle(new ReplicaEvent.Propose(clock, clock, new byte[0]), group.now);
		}
		group.run(100);
		group.crash(leader);
		group.runUntil("new leader", (all) -> all.leaders().stream().anyMatch(all::mayRead));
		assertThat(group.leader().deliveredEntries).extracting(LogEntry::clockMillis)
			.isSorted()
			.contains(1000L, 2000L)
			.doesNotContain(500L)
			.endsWith(2000L);
	}

	@Test
	void shouldRecoverTermFromLogWhenHardStateIsOutdated() {
		ReplicaId id = new ReplicaId("a", 1);
		LogEntry entry = new LogEntry(1, 7, LogEntry.Kind.NO_OP, 0, new byte[0]);
		Replica replica = Replicas.create(
				new StoredState(id, new HardState(5, Optional.of(id)), Optional.empty(), List.of(entry)),
				List.of("a", "b", "c"), ConsensusTiming.DEFAULT, new Random(1));
		assertThat(replica.term()).isEqualTo(7);
	}

	/**
	 * Guards against replicas that run out of memory because they keep a fixed number of
	 * entries, however large these are.
	 */
	@Test
	void shouldBoundTheMemoryForLargeEntriesAfterACompaction() {
		TestGroup group = TestGroup.formed(12, "a", "b", "c");
		String large = "x".repeat(400 * 1024);
		TestNode lagging = group.others(group.leader()).get(0);
		group.isolate(lagging);
		for (int i = 0; i < 50; i++) {
			group.propose(group.leader(), i + large);
			group.run(200);
		}
		TestNode leader = group.leader();
		assertThat(leader.applied).hasSize(50);
		group.compact(leader);
		assertThat(leader.replica.logBytes()).isLessThanOrEqualTo(4 * 1024 * 1024);
		group.heal();
		group.run(20_000);
		assertThat(lagging.applied).isEqualTo(leader.applied);
	}

}

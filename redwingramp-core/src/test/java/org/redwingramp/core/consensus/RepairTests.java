package org.redwingramp.core.consensus;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the replacement of replicas that lost their disk and the transfer of snapshots.
 * Guards against the loss of committed entries during a replacement, and against replicas
 * that count towards a quorum before they hold the log.
 */
class RepairTests {

	@Test
	void shouldReplaceALostReplicaAndSurviveASecondLossRightAfter() {
		for (long seed = 0; seed < 20; seed++) {
			TestGroup group = TestGroup.formed(seed, "a", "b", "c");
			IntStream.range(0, 50).forEach((i) -> group.propose(group.leader(), "x" + i));
			group.run(100);
			TestNode lost = group.nodes.get(List.of("a", "b", "c").get((int) (seed % 3)));
			ReplicaId lostId = lost.id();
			ReplicaId added = group.replaceDisk(lostId.name()).id();
			group.runUntil("new incarnation is a voter",
					(all) -> all.leaders()
						.stream()
						.anyMatch((node) -> voters(node).contains(added) && !voters(node).contains(lostId)));
			TestNode second = group.others(group.byId(added).orElseThrow()).get((int) (seed / 3 % 2));
			group.crash(second);
			group.runUntil("leader after the second loss", (all) -> all.leaders().stream().anyMatch(all::mayRead));
			group.propose(group.leader(), "y");
			group.run(300);
			assertThat(group.leader().applied).hasSize(51).startsWith("x0").endsWith("x49", "y");
			assertThat(group.byId(added).orElseThrow().applied).hasSize(51);
		}
	}

	@Test
	void shouldPromoteOnlyAReplicaThatHoldsTheLog() {
		TestGroup group = TestGroup.formed(1, "a", "b", "c");
		TestNode leader = group.leader();
		IntStream.range(0, 50).forEach((i) -> group.propose(leader, "x" + i));
		group.run(100);
		TestNode added = group.replaceDisk(group.others(leader).get(0).id().name());
		group.drops = (message) -> message.receiver().equals(added.id())
				&& message.message() instanceof PeerMessage.AppendRequest append && !append.entries().isEmpty();
		group.run(3000);
		assertThat(leader.replica.membership().orElseThrow().learners()).containsExactly(added.id());
		assertThat(voters(leader)).hasSize(2);
		assertThat(added.replica.role()).isEqualTo(Role.BLANK);
		group.drops = (message) -> false;
		group.runUntil("learner is promoted", (all) -> voters(leader).contains(added.id()));
		assertThat(added.deliveredEntries.size()).isGreaterThan(50);
	}

	@Test
	void shouldNotReplaceALiveReplica() {
		TestGroup group = TestGroup.formed(2, "a", "b", "c");
		TestNode leader = group.leader();
		ReplicaId otherIncarnation = new ReplicaId(group.others(leader).get(0).id().name(), 99);
		leader.handle(new ReplicaEvent.PeerDiscovered(otherIncarnation, true), group.now);
		group.run(3000);
		assertThat(leader.replica.membership().orElseThrow().all()).hasSize(3).doesNotContain(otherIncarnation);
	}

	@Test
	void shouldNotShrinkBelowAMajorityOfTheListedReplicas() {
		TestGroup group = TestGroup.formed(3, "a", "b", "c");
		TestNode leader = group.leader();
		group.others(leader).forEach((node) -> group.replaceDisk(node.id().name()));
		group.run(5000);
		assertThat(leader.replica.membership().orElseThrow().voters()).hasSizeGreaterThan(1);
		assertThat(group.nodes.values()).noneMatch(group::mayRead);
	}

	@Test
	void shouldReplaceAgainWhenNewIncarnationIsLostBeforePromotion() {
		TestGroup group = TestGroup.formed(4, "a", "b", "c");
		TestNode leader = group.leader();
		String name = group.others(leader).get(0).id().name();
		TestNode first = group.replaceDisk(name);
		group.drops = (message) -> message.receiver().equals(first.id());
		group.run(1500);
		group.drops = (message) -> false;
		TestNode second = group.replaceDisk(name);
		group.runUntil("second replacement is a voter", (all) -> voters(leader).contains(second.id()));
		assertThat(leader.replica.membership().orElseThrow().all()).hasSize(3).doesNotContain(first.id());
	}

	@Test
	void shouldFinishMembershipChangeInterruptedByPartition() {
		for (long seed = 0; seed < 20; seed++) {
			TestGroup group = TestGroup.formed(seed, "a", "b", "c");
			TestNode formerLeader = group.leader();
			group.propose(formerLeader, "x");
			group.run(100);
			TestNode added = group.replaceDisk(group.others(formerLeader).get(0).id().name());
			group.runUntil("membership change started",
					(all) -> formerLeader.replica.membership().orElseThrow().all().contains(added.id()));
			group.isolate(formerLeader);
			group.run(1000 + seed * 50);
			group.heal();
			group.runUntil("new incarnation is a voter and the leader may serve reads",
					(all) -> all.leaders()
						.stream()
						.anyMatch((node) -> all.mayRead(node) && voters(node).contains(added.id())));
			group.run(200);
			assertThat(group.nodes.values()).allSatisfy((node) -> assertThat(node.applied).containsExactly("x"));
		}
	}

	@Test
	void shouldCatchUpLaggingReplicaBySnapshotAndRemainingEntries() {
		TestGroup group = TestGroup.formed(5, "a", "b", "c");
		TestNode leader = group.leader();
		TestNode lagging = group.others(leader).get(0);
		group.isolate(lagging);
		IntStream.range(0, 400).forEach((i) -> group.propose(leader, "x".repeat(2000) + i));
		group.run(200);
		group.compact(leader);
		group.propose(leader, "tail");
		group.run(50);
		group.heal();
		group.runUntil("lagging replica caught up", (all) -> lagging.applied.size() == 401);
		assertThat(lagging.installedSnapshots).isEqualTo(1);
		assertThat(lagging.applied).isEqualTo(leader.applied);
		assertThat(group.sent).filteredOn((sent) -> sent.message() instanceof PeerMessage.SnapshotChunk)
			.hasSizeGreaterThan(3)
			.allSatisfy((sent) -> assertThat(((PeerMessage.SnapshotChunk) sent.message()).part().length)
				.isLessThanOrEqualTo(256 * 1024));
	}

	@Test
	void shouldTruncateConflictInSeparateBatchBeforeInstallingSnapshot() {
		TestGroup group = TestGroup.formed(6, "a", "b", "c");
		TestNode formerLeader = group.leader();
		group.isolate(formerLeader);
		IntStream.range(0, 600).forEach((i) -> group.propose(formerLeader, "lost" + i));
		group.runUntil("new leader", (all) -> all.leaders().stream().anyMatch((node) -> node != formerLeader));
		TestNode leader = group.leader();
		IntStream.range(0, 400).forEach((i) -> group.propose(leader, "x" + i));
		group.run(500);
		group.compact(leader);
		group.heal();
		group.runUntil("lagging replica caught up", (all) -> formerLeader.applied.size() == 400);
		assertThat(formerLeader.applied).isEqualTo(leader.applied);
		assertThat(formerLeader.installedSnapshots).isEqualTo(1);
	}

	@Test
	void shouldRestartFromSnapshotAndLog() {
		TestGroup group = TestGroup.formed(7, "a", "b", "c");
		IntStream.range(0, 300).forEach((i) -> group.propose(group.leader(), "x" + i));
		group.run(200);
		group.nodes.values().forEach(group::compact);
		group.propose(group.leader(), "tail");
		group.run(200);
		List.copyOf(group.nodes.values()).forEach(group::restart);
		group.runUntil("all entries applied again",
				(all) -> all.nodes.values().stream().allMatch((node) -> node.applied.size() == 301));
		assertThat(group.nodes.values()).extracting((node) -> node.installedSnapshots).containsOnly(1);
	}

	private static List<ReplicaId> voters(TestNode node) {
		return node.replica.membership().orElseThrow().voters();
	}

}

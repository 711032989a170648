package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests group formation and leader election. Guards against two leaders in a term, votes
 * of empty replicas, disruption by replicas that reconnect and stale reads from a leader
 * that was replaced.
 */
class ElectionTests {

	@Test
	void shouldFormGroupAndElectOneLeader() {
		for (long seed = 0; seed < 20; seed++) {
			TestGroup group = TestGroup.formed(seed, "a", "b", "c");
			assertThat(group.leaders()).hasSize(1);
			assertThat(group.mayRead(group.leader())).isTrue();
			assertThat(group.nodes.values().stream().map((node) -> node.replica.membership()).distinct()).hasSize(1);
		}
	}

	@Test
	void shouldNotFormWhileAListedReplicaIsMissing() {
		TestGroup group = new TestGroup(1, "a", "b", "c");
		group.crash(group.node("c"));
		group.run(5000);
		assertThat(group.leaders()).isEmpty();
		assertThat(group.node("a").replica.role()).isEqualTo(Role.BLANK);
	}

	@Test
	void shouldFinishFormationWhenFormCommitMessagesWereLost() {
		TestGroup group = new TestGroup(1, "a", "b", "c");
		group.drops = (message) -> message.message() instanceof PeerMessage.FormCommit;
		group.runUntil("a holds the first entry", (all) -> all.node("a").replica.role() == Role.FOLLOWER);
		group.drops = (message) -> false;
		group.runUntil("leader", (all) -> !all.leaders().isEmpty());
	}

	@Test
	void shouldFinishFormationWhenFirstLeaderLostItsDisk() {
		TestGroup group = new TestGroup(1, "a", "b", "c");
		ReplicaId emptyMember = group.node("c").id();
		group.drops = (message) -> message.receiver().equals(emptyMember)
				&& !(message.message() instanceof PeerMessage.FormOffer);
		group.runUntil("leader", (all) -> all.leaders().stream().anyMatch(all::mayRead));
		assertThat(group.node("c").replica.role()).isEqualTo(Role.BLANK);
		TestNode lost = group.leader();
		group.replaceDisk(lost.id().name());
		group.drops = (message) -> false;
		group.runUntil("leader after the first leader lost its disk",
				(all) -> all.leaders().stream().anyMatch(all::mayRead));
	}

	@Test
	void shouldFinishFormationWhenEmptyMemberRestartsAfterFirstLeaderLostItsDisk() {
		TestGroup group = new TestGroup(1, "a", "b", "c");
		ReplicaId emptyMember = group.node("c").id();
		group.drops = (message) -> message.receiver().equals(emptyMember)
				&& !(message.message() instanceof PeerMessage.FormOffer);
		group.runUntil("leader", (all) -> all.leaders().stream().anyMatch(all::mayRead));
		group.replaceDisk(group.leader().id().name());
		group.restart(group.node("c"));
		group.run(300);
		group.drops = (message) -> false;
		group.runUntil("leader after the first leader lost its disk",
				(all) -> all.leaders().stream().anyMatch(all::mayRead));
	}

	@Test
	void shouldFinishFormationAfterTheFirstEntryWasCompacted() {
		TestGroup group = new TestGroup(1, "a", "b", "c");
		ReplicaId emptyMember = group.node("c").id();
		group.drops = (message) -> message.receiver().equals(emptyMember)
				&& !(message.message() instanceof PeerMessage.FormOffer);
		group.runUntil("leader", (all) -> all.leaders().stream().anyMatch(all::mayRead));
		TestNode leader = group.leader();
		IntStream.range(0, 300).forEach((i) -> group.propose(leader, "x" + i));
		group.run(200);
		TestNode compacted = group.others(leader)
			.stream()
			.filter((node) -> !node.id().equals(emptyMember))
			.findFirst()
			.orElseThrow();
		group.compact(compacted);
		group.restart(compacted);
		group.replaceDisk(leader.id().name());
		group.drops = (message) -> false;
		group.runUntil("leader after the first leader lost its disk",
				(all) -> all.leaders().stream().anyMatch(all::mayRead));
		assertThat(group.leader().applied).hasSize(300);
	}

	// Guards against a restart of all replicas that takes a further full election timeout
	// because the first pre-vote requests were sent before the connections were open.
	@Test
	void shouldRetryPreVoteWithinElectionTimeoutWhenRequestsWereLost() {
		for (long seed = 0; seed < 20; seed++) {
			TestGroup group = TestGroup.formed(seed, "a", "b", "c");
			group.nodes.values().forEach(group::crash);
			List.copyOf(group.nodes.values()).forEach(group::restart);
			boolean[] linksOpen = { false };
			group.drops = (message) -> !linksOpen[0];
			long startNanos = group.now;
			group.run(ConsensusTiming.DEFAULT.maxElectionNanos() / TestGroup.NANOS_PER_MS);
			linksOpen[0] = true;
			group.runUntil("leader", (all) -> !all.leaders().isEmpty());
			long electionMillis = (group.now - startNanos - ConsensusTiming.DEFAULT.maxElectionNanos())
					/ TestGroup.NANOS_PER_MS;
			assertThat(electionMillis).isLessThan(ConsensusTiming.DEFAULT.minElectionNanos() / TestGroup.NANOS_PER_MS);
		}
	}

	// Guards against a restarted replica that waits a further election timeout after a
	// slow start, and against one that grants a vote while the lease of a leader that it
	// acknowledged before the restart may still be valid.
	@Test
	void shouldMeasureFirstElectionTimeoutFromProcessStart() {
		TestGroup group = TestGroup.formed(3, "a", "b", "c");
		TestNode stopped = group.leader();
		group.nodes.values().forEach(group::crash);
		TestNode restarted = group.restart(stopped);
		long start = group.now;
		restarted.handle(new ReplicaEvent.Tick(), start);
		long linksOpened = start + ConsensusTiming.DEFAULT.maxElectionNanos() + TestGroup.NANOS_PER_MS;
		restarted.handle(new ReplicaEvent.Tick(), linksOpened);
		assertThat(restarted.outbox).anyMatch((sent) -> sent.message() instanceof PeerMessage.PreVoteRequest);
	}

	@Test
	void shouldFormAGroupOfOne() {
		TestGroup group = TestGroup.formed(1, "a");
		group.propose(group.leader(), "x");
		group.run(10);
		assertThat(group.leader().applied).containsExactly("x");
		assertThat(group.mayRead(group.leader())).isTrue();
	}

	@Test
	void shouldReplaceIsolatedLeaderAndKeepNewLeaderWhenItReturns() {
		TestGroup group = TestGroup.formed(2, "a", "b", "c");
		TestNode formerLeader = group.leader();
		group.isolate(formerLeader);
		group.runUntil("isolated leader steps down", (all) -> formerLeader.replica.role() == Role.FOLLOWER);
		group.runUntil("new leader", (all) -> !all.leaders().isEmpty());
		TestNode leader = group.leader();
		long term = leader.replica.term();
		group.run(3000);
		group.heal();
		group.run(3000);
		assertThat(group.leader()).isSameAs(leader);
		assertThat(leader.replica.term()).isEqualTo(term);
		assertThat(formerLeader.replica.leader()).contains(leader.id());
	}

	@Test
	void shouldNotElectAgainWhenAnIsolatedFollowerReturns() {
		TestGroup group = TestGroup.formed(3, "a", "b", "c");
		TestNode leader = group.leader();
		long term = leader.replica.term();
		group.isolate(group.others(leader).get(0));
		group.run(3000);
		group.heal();
		group.run(2000);
		assertThat(group.leader().id()).isEqualTo(leader.id());
		assertThat(leader.replica.term()).isEqualTo(term);
	}

	@Test
	void shouldStepDownWhenLeaderReceivesNoReplies() {
		TestGroup group = TestGroup.formed(4, "a", "b", "c");
		TestNode leader = group.leader();
		group.others(leader).forEach((other) -> group.cut(other, leader));
		group.run(500);
		assertThat(leader.replica.role()).isNotEqualTo(Role.LEADER);
		group.runUntil("leader among the other replicas", (all) -> all.leaders().stream().anyMatch(all::mayRead));
	}

	@Test
	void shouldRefuseVotesAfterRecentLeaderContactAndAfterRestart() {
		TestGroup group = TestGroup.formed(5, "a", "b", "c");
		TestNode voter = group.others(group.leader()).get(0);
		TestNode candidate = group.others(group.leader()).get(1);
		PeerMessage request = new PeerMessage.VoteRequest(voter.replica.term() + 5, clusterId(voter), 100, 100);
		assertThat(vote(group, voter, candidate.id(), request).granted()).isFalse();
		TestNode restarted = group.restart(voter);
		assertThat(vote(group, restarted, candidate.id(), request).granted()).isFalse();
		group.crash(group.leader());
		group.isolate(restarted);
		// 1 ms longer than the minimum election timeout.
		group.run(201);
		assertThat(vote(group, restarted, candidate.id(), request).granted()).isTrue();
	}

	@Test
	void shouldNotVoteTwiceInATermAcrossARestart() {
		TestGroup group = TestGroup.formed(6, "a", "b", "c");
		TestNode voter = group.others(group.leader()).get(0);
		TestNode other = group.others(group.leader()).get(1);
		TestNode leader = group.leader();
		group.isolate(voter);
		// 1 ms longer than the minimum election timeout.
		group.run(201);
		PeerMessage request = new PeerMessage.VoteRequest(voter.replica.term() + 5, clusterId(voter), 100, 100);
		assertThat(vote(group, voter, other.id(), request).granted()).isTrue();
		TestNode restarted = group.restart(voter);
		group.run(230);
		assertThat(vote(group, restarted, leader.id(), request).granted()).isFalse();
	}

	@Test
	void shouldNotGrantVotesWhenEmptyOrToAnotherCluster() {
		TestGroup group = TestGroup.formed(7, "a", "b", "c");
		TestNode leader = group.leader();
		TestNode lost = group.others(leader).get(0);
		TestNode lagging = group.others(leader).get(1);
		group.isolate(lagging);
		group.propose(leader, "only on leader and lost");
		group.run(100);
		group.crash(leader);
		group.heal();
		TestNode emptyReplica = group.replaceDisk(lost.id().name());
		group.run(5000);
		assertThat(group.leaders()).isEmpty();
		assertThat(emptyReplica.replica.role()).isEqualTo(Role.BLANK);
		assertThat(lagging.applied).isEmpty();
		PeerMessage request = new PeerMessage.VoteRequest(99, clusterId(lagging), 100, 100);
		assertThat(vote(group, emptyReplica, lagging.id(), request).granted()).isFalse();
		PeerMessage foreign = new PeerMessage.VoteRequest(99, "another group", 100, 100);
		assertThat(vote(group, lagging, leader.id(), foreign).granted()).isFalse();
	}

	@Test
	void shouldIgnoreAReplicaOutsideTheGroup() {
		TestGroup group = TestGroup.formed(8, "a", "b", "c");
		TestNode follower = group.others(group.leader()).get(0);
		long term = follower.replica.term();
		ReplicaId outsider = new ReplicaId("c", 4711);
		follower.handle(new ReplicaEvent.Received(outsider,
				new PeerMessage.AppendRequest(99, "another group", 0, 0, 0, 0, List.of())), group.now);
		follower.handle(new ReplicaEvent.Received(outsider, new PeerMessage.VoteReply(99, false)), group.now);
		assertThat(follower.replica.term()).isEqualTo(term);
		assertThat(follower.outbox).isEmpty();
	}

	@Test
	void shouldNotReadAfterAPauseLongerThanTheLease() {
		TestGroup group = TestGroup.formed(9, "a", "b", "c");
		TestNode leader = group.leader();
		leader.paused = true;
		group.run(250);
		assertThat(group.mayRead(leader)).isFalse();
		group.run(2000);
		leader.paused = false;
		leader.handle(leader.backlog.remove(), group.now);
		assertThat(leader.replica.role()).isEqualTo(Role.FOLLOWER);
		assertThat(group.leader().id()).isNotEqualTo(leader.id());
	}

	@Test
	void shouldExpireLeaseBeforeAnyFollowerVotesWithClocksAtTheDriftBound() {
		for (long seed = 0; seed < 30; seed++) {
			TestGroup group = TestGroup.formed(seed, "a", "b", "c");
			TestNode leader = group.leader();
			// The leader's clock runs 1% slow and the others 1% fast. A higher rate only
			// moves a clock forward, so its readings stay monotonic.
			group.others(leader).forEach((node) -> node.clockRate = 1.01 / 0.99);
			group.runUntil("lease under the new rates", (all) -> all.leaders().contains(leader) && all.mayRead(leader));
			group.run(200);
			group.isolate(leader);
			TestNode voter = group.others(leader).get(0);
			TestNode candidate = group.others(leader).get(1);
			group.cut(voter, candidate);
			group.cut(candidate, voter);
			boolean granted = false;
			while (!granted) {
				group.run(1);
				PeerMessage request = new PeerMessage.VoteRequest(99, clusterId(voter), 100, 100);
				granted = vote(group, voter, candidate.id(), request).granted();
				assertThat(granted && group.mayRead(leader)).as("seed %d", seed).isFalse();
			}
		}
	}

	@Test
	void shouldThrowWhenClockGoesBackwards() {
		Replica replica = Replicas.create(StoredState.empty(new ReplicaId("a", 1)), List.of("a"),
				ConsensusTiming.DEFAULT, new Random(1));
		replica.handle(new ReplicaEvent.Tick(), 100);
		assertThatThrownBy(() -> replica.handle(new ReplicaEvent.Tick(), 99))
			.isInstanceOf(ConsensusInvariantException.class)
			.hasMessageContaining("a#1");
	}

	private static String clusterId(TestNode node) {
		return node.replica.membership().orElseThrow().clusterId();
	}

	private static PeerMessage.VoteReply vote(TestGroup group, TestNode voter, ReplicaId candidate,
			PeerMessage request) {
		voter.handle(new ReplicaEvent.Received(candidate, request), group.now);
		PeerMessage reply = voter.outbox.get(voter.outbox.size() - 1).message();
		voter.outbox.clear();
		return (PeerMessage.VoteReply) reply;
	}

}

package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against two leaders, votes without state, disturbance by returning replicas and
 * reads of a leader that was replaced.
 */
class ElectionTests {

	@Test
	void shouldFormAndElectOneLeader() {
		for (long seed = 0; seed < 20; seed++) {
			TestGroup group = TestGroup.formed(seed, "a", "b", "c");
			assertThat(group.leaders()).hasSize(1);
			assertThat(group.reads(group.leader())).isTrue();
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
	void shouldFinishFormationAfterTheFoundersLastMessagesWereLost() {
		TestGroup group = new TestGroup(1, "a", "b", "c");
		group.loses = (message) -> message.message() instanceof PeerMessage.FormCommit;
		group.until("a holds the first entry", (all) -> all.node("a").replica.role() == Role.FOLLOWER);
		group.loses = (message) -> false;
		group.until("leader", (all) -> !all.leaders().isEmpty());
	}

	@Test
	void shouldFinishFormationAfterTheFirstLeaderWasLost() {
		TestGroup group = new TestGroup(1, "a", "b", "c");
		ReplicaId late = group.node("c").id();
		group.loses = (message) -> message.receiver().equals(late)
				&& !(message.message() instanceof PeerMessage.FormOffer);
		group.until("leader", (all) -> all.leaders().stream().anyMatch(all::reads));
		assertThat(group.node("c").replica.role()).isEqualTo(Role.BLANK);
		TestNode lost = group.leader();
		group.replaceDisk(lost.id().name());
		group.loses = (message) -> false;
		group.until("leader after the loss", (all) -> all.leaders().stream().anyMatch(all::reads));
	}

	@Test
	void shouldFinishFormationAfterTheLateMemberRestartedAndSawTheLoss() {
		TestGroup group = new TestGroup(1, "a", "b", "c");
		ReplicaId late = group.node("c").id();
		group.loses = (message) -> message.receiver().equals(late)
				&& !(message.message() instanceof PeerMessage.FormOffer);
		group.until("leader", (all) -> all.leaders().stream().anyMatch(all::reads));
		group.replaceDisk(group.leader().id().name());
		group.restart(group.node("c"));
		group.run(300);
		group.loses = (message) -> false;
		group.until("leader after the loss", (all) -> all.leaders().stream().anyMatch(all::reads));
	}

	@Test
	void shouldFinishFormationAfterTheFirstEntryWasCompacted() {
		TestGroup group = new TestGroup(1, "a", "b", "c");
		ReplicaId late = group.node("c").id();
		group.loses = (message) -> message.receiver().equals(late)
				&& !(message.message() instanceof PeerMessage.FormOffer);
		group.until("leader", (all) -> all.leaders().stream().anyMatch(all::reads));
		TestNode leader = group.leader();
		IntStream.range(0, 300).forEach((i) -> group.propose(leader, "x" + i));
		group.run(200);
		TestNode kept = group.others(leader)
			.stream()
			.filter((node) -> !node.id().equals(late))
			.findFirst()
			.orElseThrow();
		group.compact(kept);
		group.restart(kept);
		group.replaceDisk(leader.id().name());
		group.loses = (message) -> false;
		group.until("leader after the loss", (all) -> all.leaders().stream().anyMatch(all::reads));
		assertThat(group.leader().applied).hasSize(300);
	}

	// Guards against a restart of all replicas that takes a whole further election
	// timeout because the first round of votes was asked for before the links were open.
	@Test
	void shouldAskAgainSoonAfterARoundOfVotesThatNobodyHeard() {
		for (long seed = 0; seed < 20; seed++) {
			TestGroup group = TestGroup.formed(seed, "a", "b", "c");
			group.nodes.values().forEach(group::crash);
			List.copyOf(group.nodes.values()).forEach(group::restart);
			boolean[] open = { false };
			group.loses = (message) -> !open[0];
			long began = group.now;
			group.run(ConsensusTiming.DEFAULT.maxElectionNanos() / TestGroup.MS);
			open[0] = true;
			group.until("leader", (all) -> !all.leaders().isEmpty());
			long waited = (group.now - began - ConsensusTiming.DEFAULT.maxElectionNanos()) / TestGroup.MS;
			assertThat(waited).isLessThan(ConsensusTiming.DEFAULT.minElectionNanos() / TestGroup.MS);
		}
	}

	// Guards against a restarted replica that waits another election timeout after a slow
	// start, and against one that votes within the promise of its former life.
	@Test
	void shouldCountTheFirstWaitFromTheStartOfTheProcess() {
		TestGroup group = TestGroup.formed(3, "a", "b", "c");
		TestNode stopped = group.leader();
		group.nodes.values().forEach(group::crash);
		TestNode restarted = group.restart(stopped);
		long start = group.now;
		restarted.handle(new ReplicaEvent.Tick(), start);
		long opened = start + ConsensusTiming.DEFAULT.maxElectionNanos() + TestGroup.MS;
		restarted.handle(new ReplicaEvent.Tick(), opened);
		assertThat(restarted.outbox).anyMatch((sent) -> sent.message() instanceof PeerMessage.PreVoteRequest);
	}

	@Test
	void shouldFormAGroupOfOne() {
		TestGroup group = TestGroup.formed(1, "a");
		group.propose(group.leader(), "x");
		group.run(10);
		assertThat(group.leader().applied).containsExactly("x");
		assertThat(group.reads(group.leader())).isTrue();
	}

	@Test
	void shouldReplaceAnIsolatedLeaderAndNotElectAgainOnItsReturn() {
		TestGroup group = TestGroup.formed(2, "a", "b", "c");
		TestNode former = group.leader();
		group.isolate(former);
		group.until("isolated leader steps down", (all) -> former.replica.role() == Role.FOLLOWER);
		group.until("new leader", (all) -> !all.leaders().isEmpty());
		TestNode leader = group.leader();
		long term = leader.replica.term();
		group.run(3000);
		group.heal();
		group.run(3000);
		assertThat(group.leader()).isSameAs(leader);
		assertThat(leader.replica.term()).isEqualTo(term);
		assertThat(former.replica.leader()).contains(leader.id());
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
	void shouldStepDownWhenOnlyItsOwnMessagesArrive() {
		TestGroup group = TestGroup.formed(4, "a", "b", "c");
		TestNode leader = group.leader();
		group.others(leader).forEach((other) -> group.cut(other, leader));
		group.run(500);
		assertThat(leader.replica.role()).isNotEqualTo(Role.LEADER);
		group.until("leader on the other side", (all) -> all.leaders().stream().anyMatch(all::reads));
	}

	@Test
	void shouldRefuseVotesWhileALeaderIsHeardAndAfterARestart() {
		TestGroup group = TestGroup.formed(5, "a", "b", "c");
		TestNode voter = group.others(group.leader()).get(0);
		TestNode asking = group.others(group.leader()).get(1);
		PeerMessage request = new PeerMessage.VoteRequest(voter.replica.term() + 5, clusterId(voter), 100, 100);
		assertThat(vote(group, voter, asking.id(), request).granted()).isFalse();
		TestNode restarted = group.restart(voter);
		assertThat(vote(group, restarted, asking.id(), request).granted()).isFalse();
		group.crash(group.leader());
		group.isolate(restarted);
		group.run(201);
		assertThat(vote(group, restarted, asking.id(), request).granted()).isTrue();
	}

	@Test
	void shouldNotVoteTwiceInATermAcrossARestart() {
		TestGroup group = TestGroup.formed(6, "a", "b", "c");
		TestNode voter = group.others(group.leader()).get(0);
		TestNode other = group.others(group.leader()).get(1);
		TestNode leader = group.leader();
		group.isolate(voter);
		group.run(201);
		PeerMessage request = new PeerMessage.VoteRequest(voter.replica.term() + 5, clusterId(voter), 100, 100);
		assertThat(vote(group, voter, other.id(), request).granted()).isTrue();
		TestNode restarted = group.restart(voter);
		group.run(230);
		assertThat(vote(group, restarted, leader.id(), request).granted()).isFalse();
	}

	@Test
	void shouldNotVoteWithoutState() {
		TestGroup group = TestGroup.formed(7, "a", "b", "c");
		TestNode leader = group.leader();
		TestNode lost = group.others(leader).get(0);
		TestNode lagging = group.others(leader).get(1);
		group.isolate(lagging);
		group.propose(leader, "only on leader and lost");
		group.run(100);
		group.crash(leader);
		group.heal();
		TestNode blank = group.replaceDisk(lost.id().name());
		group.run(5000);
		assertThat(group.leaders()).isEmpty();
		assertThat(blank.replica.role()).isEqualTo(Role.BLANK);
		assertThat(lagging.applied).isEmpty();
		PeerMessage request = new PeerMessage.VoteRequest(99, clusterId(lagging), 100, 100);
		assertThat(vote(group, blank, lagging.id(), request).granted()).isFalse();
		PeerMessage foreign = new PeerMessage.VoteRequest(99, "another group", 100, 100);
		assertThat(vote(group, lagging, leader.id(), foreign).granted()).isFalse();
	}

	@Test
	void shouldIgnoreAReplicaOutsideTheGroup() {
		TestGroup group = TestGroup.formed(8, "a", "b", "c");
		TestNode follower = group.others(group.leader()).get(0);
		long term = follower.replica.term();
		ReplicaId stranger = new ReplicaId("c", 4711);
		follower.handle(new ReplicaEvent.Received(stranger,
				new PeerMessage.AppendRequest(99, "another group", 0, 0, 0, 0, List.of())), group.now);
		follower.handle(new ReplicaEvent.Received(stranger, new PeerMessage.VoteReply(99, false)), group.now);
		assertThat(follower.replica.term()).isEqualTo(term);
		assertThat(follower.outbox).isEmpty();
	}

	@Test
	void shouldNotReadAfterAPauseLongerThanTheLease() {
		TestGroup group = TestGroup.formed(9, "a", "b", "c");
		TestNode leader = group.leader();
		leader.paused = true;
		group.run(250);
		assertThat(group.reads(leader)).isFalse();
		group.run(2000);
		leader.paused = false;
		leader.handle(leader.backlog.remove(), group.now);
		assertThat(leader.replica.role()).isEqualTo(Role.FOLLOWER);
		assertThat(group.leader().id()).isNotEqualTo(leader.id());
	}

	@Test
	void shouldEndTheLeaseBeforeAnyFollowerVotesWithClocksAtTheDriftBound() {
		for (long seed = 0; seed < 30; seed++) {
			TestGroup group = TestGroup.formed(seed, "a", "b", "c");
			TestNode leader = group.leader();
			// One clock 1% slow and the others 1% fast. A faster rate only moves the
			// clock forward, so the readings stay monotonic.
			group.others(leader).forEach((node) -> node.rate = 1.01 / 0.99);
			group.until("lease under the new rates", (all) -> all.leaders().contains(leader) && all.reads(leader));
			group.run(200);
			group.isolate(leader);
			TestNode voter = group.others(leader).get(0);
			TestNode asking = group.others(leader).get(1);
			group.cut(voter, asking);
			group.cut(asking, voter);
			boolean granted = false;
			while (!granted) {
				group.run(1);
				PeerMessage request = new PeerMessage.VoteRequest(99, clusterId(voter), 100, 100);
				granted = vote(group, voter, asking.id(), request).granted();
				assertThat(granted && group.reads(leader)).as("seed %d", seed).isFalse();
			}
		}
	}

	@Test
	void shouldStopWhenTheClockGoesBack() {
		Replica replica = Replicas.create(StoredState.blank(new ReplicaId("a", 1)), List.of("a"),
				ConsensusTiming.DEFAULT, new Random(1));
		replica.handle(new ReplicaEvent.Tick(), 100);
		assertThatThrownBy(() -> replica.handle(new ReplicaEvent.Tick(), 99))
			.isInstanceOf(ConsensusInvariantException.class)
			.hasMessageContaining("a#1");
	}

	private static String clusterId(TestNode node) {
		return node.replica.membership().orElseThrow().clusterId();
	}

	private static PeerMessage.VoteReply vote(TestGroup group, TestNode voter, ReplicaId asking, PeerMessage request) {
		voter.handle(new ReplicaEvent.Received(asking, request), group.now);
		PeerMessage reply = voter.outbox.get(voter.outbox.size() - 1).message();
		voter.outbox.clear();
		return (PeerMessage.VoteReply) reply;
	}

}

package org.redwingramp.core.consensus;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests membership changes of a group without a fixed list of names. Guards against a
 * group that stays below its size because an instance of another name can't replace a
 * permanently lost member, and against the replacement of members that only restart.
 */
class OpenGroupTests {

	private static final List<String> NO_FOUNDERS = List.of();

	@Test
	void shouldReplaceLostMemberByInstanceOfAnotherName() {
		for (long seed = 0; seed < 10; seed++) {
			TestGroup group = TestGroup.open(seed, "a", "b", "c");
			IntStream.range(0, 20).forEach((i) -> group.propose(group.leader(), "x" + i));
			group.run(200);
			TestNode lost = group.node(List.of("a", "b", "c").get((int) (seed % 3)));
			group.crash(lost);
			TestNode added = group.join("d", NO_FOUNDERS);
			group.run(9000);
			Membership membership = group.leader().replica.membership().orElseThrow();
			assertThat(membership.voters()).hasSize(3).contains(added.id()).doesNotContain(lost.id());
			assertThat(added.applied).hasSize(20);
		}
	}

	/**
	 * Guards against a group that is still without its successor of a removed member when
	 * the platform may take the next disk: 4 s after the successor's start.
	 */
	@Test
	void shouldReplaceRemovedMemberWithinTheCatchUpTimeOfItsSuccessor() {
		for (long seed = 0; seed < 30; seed++) {
			TestGroup group = TestGroup.open(seed, "a", "b", "c");
			group.crash(group.node(List.of("a", "b", "c").get((int) (seed % 3))));
			group.run(1000);
			TestNode successor = group.join("d", NO_FOUNDERS);
			group.run(4000);
			assertThat(group.leader().replica.membership().orElseThrow().voters()).as("seed " + seed)
				.contains(successor.id());
			assertThat(group.leader().replica.commitIndex()).isEqualTo(successor.replica.commitIndex());
		}
	}

	@Test
	void shouldKeepMemberThatRestartsWithinReplacementDelay() {
		TestGroup group = TestGroup.open(1, "a", "b", "c");
		TestNode leader = group.leader();
		TestNode restarting = group.others(leader).get(0);
		group.join("d", NO_FOUNDERS);
		group.crash(restarting);
		group.run(3000);
		restarting.running = true;
		group.run(4000);
		assertThat(group.leader().replica.membership().orElseThrow().all()).contains(restarting.id()).hasSize(3);
	}

	@Test
	void shouldNotReplaceMembersWhileAMajorityIsLost() {
		TestGroup group = TestGroup.open(2, "a", "b", "c");
		TestNode leader = group.leader();
		group.others(leader).forEach(group::crash);
		group.join("d", NO_FOUNDERS);
		group.run(12_000);
		assertThat(group.nodes.values()).noneMatch(group::mayRead);
	}

	/**
	 * Guards against a group that stays at its three founding members although it has to
	 * tolerate the loss of two disks at once, which takes five voters.
	 */
	@Test
	void shouldGrowToGroupSizeAndSurviveLossOfTwoDisks() {
		for (long seed = 0; seed < 10; seed++) {
			TestGroup group = TestGroup.open(seed, 5, "a", "b", "c");
			group.join("d", NO_FOUNDERS);
			group.join("e", NO_FOUNDERS);
			group.run(2000);
			assertThat(group.leader().replica.membership().orElseThrow().voters()).hasSize(5);
			IntStream.range(0, 20).forEach((i) -> group.propose(group.leader(), "x" + i));
			group.run(200);
			List<String> lost = List.of(group.leader().id().name(),
					group.others(group.leader()).get((int) (seed % 4)).id().name());
			lost.forEach((name) -> group.crash(group.node(name)));
			lost.forEach((name) -> group.join(name, NO_FOUNDERS));
			group.run(9000);
			assertThat(group.leader().replica.membership().orElseThrow().voters()).hasSize(5);
			assertThat(group.nodes.values()).allSatisfy((node) -> assertThat(node.applied).hasSize(20));
		}
	}

	/**
	 * Guards against a lost member that can't be replaced because the group has fewer
	 * members than its size.
	 */
	@Test
	void shouldReplaceMemberOfGroupBelowItsSize() {
		TestGroup group = TestGroup.open(4, 5, "a", "b", "c");
		group.propose(group.leader(), "x");
		group.run(200);
		TestNode lost = group.others(group.leader()).get(0);
		group.crash(lost);
		TestNode repaired = group.join(lost.id().name(), NO_FOUNDERS);
		group.run(9000);
		assertThat(group.leader().replica.membership().orElseThrow().voters()).hasSize(3).contains(repaired.id());
	}

	@Test
	void shouldNotFormAGroupOfJoiningInstancesOnly() {
		TestGroup group = new TestGroup(3);
		List.of("a", "b", "c").forEach((name) -> group.join(name, NO_FOUNDERS));
		group.run(3000);
		assertThat(group.leaders()).isEmpty();
	}

}

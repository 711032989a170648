package org.redwingramp.core.fleet;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.fleet.FleetCommand.AssignKeys;
import org.redwingramp.core.fleet.FleetCommand.ForgetTarget;
import org.redwingramp.core.fleet.FleetCommand.Move;
import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.KeyReport;
import org.redwingramp.core.ownership.OwnedRange;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.traffic.GrantMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a target that applies an unanswered grant after its keys have been
 * assigned to another one, and against keys that are served late because of what prevents
 * that. The fleet fails if a target accepts a grant that isn't above the fence of another
 * owner, or if two targets hold a key.
 */
class LateGrantTests {

	private static final int DRAIN_MILLIS = 2000;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final FakeFleet fleet = new FakeFleet();

	/**
	 * Guards against two owners of a key: the new leader didn't know that a grant of the
	 * former one was unanswered, and moved the keys under the same fence.
	 */
	@Test
	void shouldMoveKeysSafelyAfterAnUnansweredGrantOfAFormerLeader() {
		awaitInitialAssignment();
		delayNextGrant("t-1");
		this.fleet.startLeadership();
		drain("t-1");
		this.fleet.advance(4000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: the ranges were merged under a fence that their
	 * owner hasn't seen, while grants of the former fences were unanswered.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldMoveMergedKeysSafelyAfterUnansweredGrantsOfTheirFormerFences(boolean newLeader) {
		awaitInitialAssignment();
		OwnedRange range = rangesOf("t-1").get(0);
		KeyRange first = new KeyRange(range.keys().first(), range.keys().first() + 99);
		this.fleet.commit(new AssignKeys("s", List.of(new Move(first, range.owner()))));
		this.fleet.advance(100);
		// A new leader renews all leases before it merges any.
		this.fleet.delayGrants.add("t-1");
		this.fleet.startLeadership();
		advanceUntilDecision("join");
		this.fleet.advance(50);
		assertThat(rangesOf("t-1")).hasSize(1);
		if (newLeader) {
			this.fleet.startLeadership();
		}
		drain("t-1");
		this.fleet.advance(4000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against a range that is released without proof, or never moved, because no
	 * fence is higher than its own.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldMoveAPartOfTheOnlyRangeToATargetThatJoins(boolean unanswered) {
		awaitSingleOwner();
		if (unanswered) {
			delayNextGrant("t-0");
		}
		join(1);
		this.fleet.advance(1500);
		assertThat(this.fleet.decisions).filteredOn("move"::equals).hasSize(1);
		assertThat(this.fleet.decisions).filteredOn("refence"::equals).hasSize(1);
		assertThat(this.fleet.owners()).containsExactlyInAnyOrder("t-0", "t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
		this.fleet.advance(4000);
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
	}

	/** Guards against a move that goes elsewhere, because its range got a new fence. */
	@Test
	void shouldKeepThePlanOfAMoveWhenItsRangeGetsANewFence() {
		awaitSingleOwner();
		join(1);
		advanceUntilDecision("refence");
		this.fleet.advance(50);
		assertThat(this.fleet.controller.leasesPlannedFor(new Owner("t-1", 1)))
			.anyMatch((lease) -> lease.range().fence() == 2);
	}

	/**
	 * Guards against two owners of a key: a new leader releases the range with the
	 * highest fence of all before it has granted it once, as if no grant was sent.
	 */
	@Test
	void shouldMoveTheOnlyRangeSafelyAsTheFirstActOfANewLeader() {
		awaitSingleOwner();
		delayNextGrant("t-0");
		drain("t-0");
		this.fleet.startLeadership();
		join(1);
		this.fleet.advance(4000);
		assertThat(this.fleet.owners()).containsExactly("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a target can be reached again while the command
	 * that gives its keys to others waits for a slow commit, and has its lease renewed.
	 */
	@Test
	void shouldNotRenewALeaseWhileItsKeysAreBeingAssignedToOthers() {
		awaitInitialAssignment();
		this.fleet.partitionedFromControl.add("t-1");
		this.fleet.holdCommits = true;
		advanceUntilDecision("assign");
		this.fleet.partitionedFromControl.clear();
		this.fleet.advance(1000);
		this.fleet.commitAllHeld();
		this.fleet.advance(4000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a target that was taken for lost is granted its
	 * keys again while the command that removes it waits for a slow commit.
	 */
	@Test
	void shouldNotRenewALeaseWhileTheRemovalOfItsOwnerIsPending() {
		awaitSingleOwner();
		this.fleet.partitionedFromControl.add("t-0");
		this.fleet.holdCommits = true;
		this.fleet.advance(7000);
		this.fleet.partitionedFromControl.clear();
		this.fleet.advance(500);
		assertThat(this.fleet.heldKeys()).isZero();
		this.fleet.commitAllHeld();
		this.fleet.advance(50);
		assertThat(this.fleet.commands).contains(new ForgetTarget(new Owner("t-0", 1)));
		join(1);
		this.fleet.advance(4000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key, and against keys that aren't served, if the
	 * leader changes while a part of a range is being moved: before its higher fence is
	 * committed, before it is released, before the new owner is committed, and after.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 50, 100, 150, 200, 250, 300, 350, 400 })
	void shouldMoveAPartOfARangeSafelyWhileTheLeaderChanges(int untilNewLeader) {
		awaitSingleOwner();
		delayNextGrant("t-0");
		join(1);
		advanceUntilDecision("move");
		this.fleet.advance(untilNewLeader);
		this.fleet.startLeadership();
		assertThat(longestUnservedMillis(4000)).isLessThan(500);
		assertThat(this.fleet.owners()).containsExactlyInAnyOrder("t-0", "t-1");
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against keys that no target serves until a lease ends: the former leader
	 * released them, its successor knows nothing of it, and the owner refuses the former
	 * fence.
	 */
	@Test
	void shouldServeKeysSoonThatTheFormerLeaderReleased() {
		awaitInitialAssignment();
		IntStream.range(0, 4).forEach((i) -> this.fleet.loseNextReleaseReply.add("t-" + i));
		join(4);
		while (this.fleet.loseNextReleaseReply.size() == 4) {
			this.fleet.advance(50);
		}
		this.fleet.startLeadership();
		this.fleet.advance(400);
		assertThat(this.fleet.decisionLines)
			.anyMatch((line) -> line.startsWith("grant") && line.contains("HIGHER_FENCE_SEEN"));
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against a command in each round, and against keys that no target serves,
	 * because one refuses every fence.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldAssignTheKeysOfATargetThatRefusesEveryFenceToOthers(boolean newLeader) {
		awaitInitialAssignment();
		this.fleet.refusing.add("t-1");
		if (newLeader) {
			this.fleet.startLeadership();
		}
		int before = this.fleet.commands.size();
		this.fleet.advance(6000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
		this.fleet.advance(14_000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.commands.size() - before).isLessThan(20);
	}

	/**
	 * Guards against a command in each round, and against keys that are never served
	 * again, because the only target refuses every fence for a time.
	 */
	@Test
	void shouldGrantTheKeysOfTheOnlyTargetAgainOnceItRefusesNoMore() {
		awaitSingleOwner();
		this.fleet.refusing.add("t-0");
		int before = this.fleet.commands.size();
		this.fleet.advance(20_000);
		assertThat(this.fleet.commands.size() - before).isLessThan(10);
		this.fleet.refusing.clear();
		this.fleet.advance(60_000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: the owner can't be reached and applies an
	 * unanswered grant, of this or of the former leader, before or after the time at
	 * which its keys are assigned to others.
	 */
	@ParameterizedTest
	@CsvSource({ "false, 500", "false, 2900", "false, 4000", "false, 6000", "true, 500", "true, 2900", "true, 4000",
			"true, 6000" })
	void shouldReassignTheKeysOfAnUnreachableTargetOnlyAfterItsLateGrantsHaveEnded(boolean newLeader, int applied) {
		awaitInitialAssignment();
		this.fleet.applyDelayMillis = applied;
		delayNextGrant("t-1");
		this.fleet.partitionedFromControl.add("t-1");
		if (newLeader) {
			this.fleet.startLeadership();
		}
		this.fleet.advance(8000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a target starts again under its name and
	 * applies a grant that was meant for the former incarnation.
	 */
	@ParameterizedTest
	@CsvSource({ "false, 300", "false, 2900", "true, 300", "true, 2900" })
	void shouldHoldTheKeysOfARestartedTargetUntilGrantsOfTheFormerOneHaveEnded(boolean newLeader, int applied) {
		awaitInitialAssignment();
		this.fleet.applyDelayMillis = applied;
		delayNextGrant("t-1");
		this.fleet.join("t-1", 2, "10.0.0.1:80");
		if (newLeader) {
			this.fleet.startLeadership();
		}
		this.fleet.advance(6000);
		assertThat(this.fleet.appliedLate).isPositive();
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/** Guards against keys that get lost between two ways of granting them. */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldMoveKeysSafelyAfterASwitchFromHeartbeatsToCalls(boolean newLeader) {
		this.fleet.configure(GrantMode.HEARTBEAT);
		awaitInitialAssignment();
		this.fleet.configure(GrantMode.CALL);
		if (newLeader) {
			this.fleet.startLeadership();
		}
		delayNextGrant("t-1");
		drain("t-1");
		this.fleet.advance(4000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against keys that stay unserved: their owner applies an unanswered release
	 * after it was granted them again.
	 */
	@Test
	void shouldGrantKeysAgainThatALateReleaseTookAway() {
		awaitInitialAssignment();
		IntStream.range(0, 4).forEach((i) -> this.fleet.delayNextRelease.add("t-" + i));
		this.fleet.applyDelayMillis = 2000;
		join(4);
		while (this.fleet.delayNextRelease.size() == 4) {
			this.fleet.advance(50);
		}
		this.fleet.startLeadership();
		this.fleet.advance(3000);
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a range is forgotten together with a target
	 * that left and may still hold it, because many others leave.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldHoldTheKeysOfATargetThatIsForgottenAfterItLeft(boolean byHeartbeat) {
		this.fleet.configure(byHeartbeat ? GrantMode.HEARTBEAT : GrantMode.CALL);
		awaitInitialAssignment();
		this.fleet.partitionedFromControl.add("t-1");
		this.fleet.controller.leave("t-1", Optional.of(1L)).ifPresent(this.fleet::commit);
		IntStream.range(0, 1000)
			.forEach((i) -> this.fleet
				.commit(new RecordTarget(new FleetTarget("gone-" + i, 1, "s", "10.1.1.1:80", "d-3", 3, Stage.LEFT))));
		assertThat(this.fleet.state.target("t-1")).isEmpty();
		this.fleet.advance(8000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a service was switched from calls to
	 * heartbeats, and a target that starts again applies a call that was meant for the
	 * former incarnation.
	 */
	@Test
	void shouldHoldTheKeysOfARestartedTargetAfterASwitchFromCallsToHeartbeats() {
		awaitInitialAssignment();
		this.fleet.applyDelayMillis = 2500;
		delayNextGrant("t-1");
		this.fleet.configure(GrantMode.HEARTBEAT);
		this.fleet.advance(600);
		// A cold target gets no keys, so it learns of no higher fence.
		this.fleet.sendHeartbeat(new FleetTarget("t-1", 2, "s", "10.0.0.1:80", "d-3", 3, Stage.SERVING), 5000);
		this.fleet.advance(6000);
		assertThat(this.fleet.appliedLate).isPositive();
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a new leader assigns a range without an owner
	 * for which a grant of the former leader is unanswered.
	 */
	@Test
	void shouldHoldKeysWithoutAnOwnerUntilGrantsOfTheFormerLeaderHaveEnded() {
		awaitInitialAssignment();
		this.fleet.applyDelayMillis = 2500;
		delayNextGrant("t-1");
		this.fleet.commit(new ForgetTarget(new Owner("t-1", 1)));
		this.fleet.startLeadership();
		this.fleet.advance(8000);
		assertThat(this.fleet.appliedLate).isPositive();
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: an unreachable target's address is stated by
	 * another one, and the release is sent under the fence of an unanswered grant.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldReleaseKeysAtADisputedAddressUnderAHigherFence(boolean newLeader) {
		awaitSingleOwner();
		delayNextGrant("t-0");
		this.fleet.partitionedFromControl.add("t-0");
		this.fleet.advance(300);
		this.fleet.join("t-9", 9, "10.0.0.0:80");
		if (newLeader) {
			this.fleet.startLeadership();
			this.fleet.partitionedFromControl.add("t-0");
			this.fleet.advance(300);
		}
		this.fleet.partitionedFromControl.remove("t-0");
		this.fleet.advance(8000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a range is free once its release is reported by
	 * heartbeat, while a grant by call is unanswered.
	 */
	@ParameterizedTest
	@CsvSource({ "1500, 0", "2500, 600", "2900, 0" })
	void shouldMoveKeysSafelyAfterASwitchFromCallsToHeartbeats(int applied, int untilDrain) {
		switchFromCallsToHeartbeats(applied, untilDrain, false);
	}

	/**
	 * Guards against two owners of a key: a new leader doesn't know that a grant by call
	 * of its predecessor is unanswered, and moves the keys by heartbeat.
	 */
	@ParameterizedTest
	@CsvSource({ "1500, 0", "2500, 600", "2900, 0" })
	void shouldMoveKeysSafelyAfterASwitchFromCallsToHeartbeatsAndANewLeader(int applied, int untilDrain) {
		switchFromCallsToHeartbeats(applied, untilDrain, true);
	}

	private void switchFromCallsToHeartbeats(int applied, int untilDrain, boolean newLeader) {
		awaitInitialAssignment();
		this.fleet.applyDelayMillis = applied;
		delayNextGrant("t-1");
		this.fleet.configure(GrantMode.HEARTBEAT);
		if (newLeader) {
			this.fleet.startLeadership();
		}
		this.fleet.advance(untilDrain);
		drain("t-1");
		this.fleet.advance(8000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a new fence for the former owner is proposed
	 * while the commit of the next owner is pending, and takes the keys back.
	 */
	@Test
	void shouldNotRaiseTheFenceOfAFormerOwnerWhileTheCommitOfTheNextOneIsPending() {
		awaitSingleOwner();
		this.fleet.partitionedFromControl.add("t-0");
		this.fleet.advance(500);
		join(1);
		this.fleet.holdCommits = true;
		advanceUntilDecision("assign");
		this.fleet.partitionedFromControl.remove("t-0");
		this.fleet.advance(1000);
		for (int i = 0; i < 10; i++) {
			this.fleet.commitHeld();
			this.fleet.advance(100);
		}
		this.fleet.holdCommits = false;
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a target starts again after it has released its
	 * keys, and gets a grant of a former leader that was meant for its predecessor.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 300, 700, 900, 1000, 2000 })
	void shouldMoveReleasedKeysOfATargetThatStartsAgainSafely(int applied) {
		awaitInitialAssignment();
		this.fleet.applyDelayMillis = applied;
		delayNextGrant("t-1");
		this.fleet.startLeadership();
		drain("t-1");
		advanceUntilDecision("assign");
		this.fleet.join("t-1", 2, "10.0.0.1:80");
		this.fleet.advance(6000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a grant for the former incarnation of a target
	 * reaches the present one, because its lease is renewed while the restart waits for
	 * its commit, or because the grant has waited in a queue.
	 */
	@Test
	void shouldGrantNothingToAnOwnerThatIsKnownToStartAgain() {
		this.fleet.join("t-1", 1, "10.0.0.1:80");
		this.fleet.advance(4000);
		RangeLease lease = this.fleet.lastGranted;
		assertThat(this.fleet.controller.mayGrant(lease)).isTrue();
		FleetTarget restarted = new FleetTarget("t-1", 2, "s", "10.0.0.1:80", "d-3", 3, Stage.SERVING);
		this.fleet.silent.add("t-1");
		Optional<FleetCommand> record = this.fleet.controller
			.heartbeat(new TargetHeartbeat(restarted, 3000, 1, KeyReport.EMPTY), this.fleet.now);
		assertThat(this.fleet.controller.mayGrant(lease)).isFalse();
		int before = this.fleet.grants;
		this.fleet.advance(2500);
		assertThat(this.fleet.grants).isEqualTo(before);
		record.ifPresent(this.fleet::commit);
		assertThat(this.fleet.controller.mayGrant(lease)).isFalse();
	}

	/**
	 * Guards against a target that counts as unreachable because a grant for it was
	 * withheld whose lease had a new fence by then.
	 */
	@Test
	void shouldNotSuspectATargetBecauseAGrantWasWithheld() {
		awaitInitialAssignment();
		RangeLease lease = this.fleet.lastGranted;
		this.fleet.commit(new AssignKeys("s", List.of(new Move(lease.range().keys(), lease.range().owner()))));
		this.fleet.decisions.clear();
		this.fleet.controller.grantReturned(lease, GrantOutcome.NOT_SENT, this.fleet.now);
		assertThat(this.fleet.controller.mayGrant(lease)).isFalse();
		assertThat(this.fleet.decisions).doesNotContain("target-contact");
	}

	/**
	 * Guards against two owners of a key: load balancing has a range released while a
	 * grant of the former leader may arrive, and its owner starts again before it does.
	 */
	@Test
	void shouldBalanceLoadSafelyWhileGrantsOfTheFormerLeaderMayArrive() {
		awaitInitialAssignment();
		this.fleet.applyDelayMillis = 1000;
		IntStream.range(0, 4).forEach((i) -> this.fleet.delayNextGrant.add("t-" + i));
		while (!this.fleet.delayNextGrant.isEmpty()) {
			this.fleet.advance(50);
		}
		this.fleet.startLeadership();
		join(4);
		// The first round is late, so balancing and renewals don't coincide.
		this.fleet.now += 300 * FakeFleet.MS;
		advanceUntilDecision("assign");
		IntStream.range(0, 4).forEach((i) -> this.fleet.join("t-" + i, 2, "10.0.0." + i + ":80"));
		this.fleet.advance(6000);
		assertThat(this.fleet.decisions).contains("move");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against a drain that waits until a lease ends, because a release whose
	 * response was lost isn't repeated, to an owner that can be reached or to whoever
	 * answers at its disputed address.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldRepeatAReleaseWhoseResponseWasLost(boolean disputed) {
		awaitInitialAssignment();
		this.fleet.loseNextReleaseReply.add("t-1");
		drain("t-1");
		advanceUntilDecision("release");
		if (disputed) {
			this.fleet.silent.add("t-1");
			this.fleet.join("t-9", 9, "10.0.0.1:80");
		}
		this.fleet.advance(1000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a call is sent while the command that rules out
	 * calls has no result, since the service was switched back meanwhile.
	 */
	@Test
	void shouldSendNoCallWhileACommandThatRulesThemOutMayBeApplied() {
		awaitInitialAssignment();
		this.fleet.holdCommits = true;
		this.fleet.configure(GrantMode.HEARTBEAT);
		advanceUntilDecision("grant-mode");
		this.fleet.configure(GrantMode.CALL);
		int before = this.fleet.grants;
		this.fleet.advance(1000);
		assertThat(this.fleet.grants).isEqualTo(before);
		this.fleet.commitAllHeld();
		this.fleet.advance(2000);
		assertThat(this.fleet.grants).isGreaterThan(before);
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a part of a range gets a new fence after a
	 * command that merged the range with its neighbour, and its owner, which can't be
	 * reached, still holds the keys under a former fence.
	 */
	@Test
	void shouldHoldTheKeysOfAnOwnerWhenAPartOfAMergedRangeGetsANewFence() {
		awaitSingleOwner();
		this.fleet.commit(new AssignKeys("s", List.of(new Move(new KeyRange(0, 99), new Owner("t-0", 1)))));
		this.fleet.holdCommits = true;
		advanceUntilDecision("join");
		drain("t-0");
		advanceUntilDecision("refence");
		this.fleet.partitionedFromControl.add("t-0");
		join(1);
		this.fleet.commitAllHeld();
		this.fleet.advance(8000);
		assertThat(this.fleet.owners()).containsExactly("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key: a part of a range gets a new fence while its
	 * owner holds the whole range under the former one.
	 */
	@Test
	void shouldHoldTheKeysOfAnOwnerWhenAPartOfItsRangeGetsANewFence() {
		awaitSingleOwner();
		this.fleet.commit(new AssignKeys("s", List.of(new Move(new KeyRange(0, 99), new Owner("t-0", 1)))));
		this.fleet.partitionedFromControl.add("t-0");
		drain("t-0");
		join(1);
		this.fleet.advance(8000);
		assertThat(this.fleet.owners()).containsExactly("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against a drain that waits for long after a change of the leader, and
	 * against keys that aren't served meanwhile.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldMoveTheKeysOfADrainingTargetInItsDrainTimeAfterANewLeader(boolean byHeartbeat) {
		this.fleet.configure(byHeartbeat ? GrantMode.HEARTBEAT : GrantMode.CALL);
		awaitInitialAssignment();
		this.fleet.startLeadership();
		drain("t-1");
		assertThat(longestUnservedMillis(DRAIN_MILLIS)).isLessThan(1000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against an owner that loses its keys while their release waits for grants of
	 * the former leader.
	 */
	@Test
	void shouldRenewALeaseWhileItsReleaseWaitsForGrantsOfTheFormerLeader() {
		awaitInitialAssignment();
		this.fleet.now += 2 * NANOS_PER_SECOND;
		this.fleet.startLeadership();
		drain("t-1");
		assertThat(longestUnservedMillis(1000)).isZero();
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against a burst of requests to a cold target, and keys for it, because a new
	 * leader takes it for a warm one until its next heartbeat.
	 */
	@Test
	void shouldTreatAColdTargetAsColdAfterAChangeOfTheLeader() {
		this.fleet.sendHeartbeat(new FleetTarget("t-9", 1, "s", "10.0.0.9:80", "d", 3, Stage.SERVING), 30_000);
		this.fleet.advance(500);
		this.fleet.startLeadership();
		assertThat(this.fleet.controller.viewTargets(this.fleet.now)).hasSize(1)
			.allMatch((target) -> target.coldLeftMillis() > 0);
	}

	/**
	 * Guards against keys that nobody holds although requests for them are sent to their
	 * owner: it has seen the fence of a release of the former leader, and its refusals
	 * get no further.
	 */
	@Test
	void shouldServeKeysThatTheFormerLeaderReleasedAlthoughRefusalsAreLost() {
		awaitInitialAssignment();
		IntStream.range(0, 4).forEach((i) -> this.fleet.loseNextReleaseReply.add("t-" + i));
		join(4);
		while (this.fleet.loseNextReleaseReply.size() == 4) {
			this.fleet.advance(50);
		}
		this.fleet.startLeadership();
		drain("t-4");
		this.fleet.hideRefusals = true;
		this.fleet.advance(8000);
		assertThat(this.fleet.heldKeys()).isEqualTo(KeyRange.KEYS);
	}

	private void awaitInitialAssignment() {
		IntStream.range(0, 4).forEach(this::join);
		awaitServedKeys();
	}

	private void awaitSingleOwner() {
		join(0);
		awaitServedKeys();
		assertThat(rangesOf("t-0")).hasSize(1);
	}

	private void awaitServedKeys() {
		this.fleet.advance(3000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	private void join(int number) {
		this.fleet.join("t-" + number, 1, "10.0.0." + number + ":80");
	}

	// Returns once an unanswered grant was sent.
	private void delayNextGrant(String target) {
		this.fleet.delayNextGrant.add(target);
		while (this.fleet.delayNextGrant.contains(target)) {
			this.fleet.advance(50);
		}
	}

	// Returns the longest time for which some key had no owner that serves it.
	private long longestUnservedMillis(long duration) {
		long longest = 0;
		long unserved = 0;
		for (long passed = 0; passed < duration; passed += 50) {
			this.fleet.advance(50);
			unserved = (this.fleet.servedKeys() < KeyRange.KEYS) ? unserved + 50 : 0;
			longest = Math.max(longest, unserved);
		}
		return longest;
	}

	private void advanceUntilDecision(String event) {
		int before = this.fleet.decisions.size();
		for (int i = 0; i < 100
				&& !this.fleet.decisions.subList(before, this.fleet.decisions.size()).contains(event); i++) {
			this.fleet.advance(50);
		}
		assertThat(this.fleet.decisions.subList(before, this.fleet.decisions.size())).contains(event);
	}

	private List<OwnedRange> rangesOf(String target) {
		return this.fleet.state.keys("s").rangesOf(new Owner(target, 1));
	}

	private void drain(String target) {
		this.fleet.sendHeartbeat(this.fleet.state.target(target).orElseThrow().with(Stage.DRAINING), 0);
	}

}

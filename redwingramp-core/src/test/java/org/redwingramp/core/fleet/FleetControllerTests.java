package org.redwingramp.core.fleet;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.fleet.EntryReport.KeyUse;
import org.redwingramp.core.fleet.EntryReport.TargetUse;
import org.redwingramp.core.fleet.FleetCommand.SetDomainOut;
import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.KeyRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against keys without an owner for longer than needed, and against keys with two,
 * while targets join, drain, crash, are cut off or start again. {@link FakeFleet} fails
 * on any key that two targets hold.
 */
class FleetControllerTests {

	private final FakeFleet fleet = new FakeFleet();

	@BeforeEach
	void joinTargets() {
		IntStream.range(0, 4).forEach((i) -> this.fleet.join("t-" + i, 1, "10.0.0." + i + ":80"));
	}

	@Test
	void shouldWaitForAllTargetsBeforeTheFirstKeysAreGivenOut() {
		this.fleet.run(1000);
		assertThat(this.fleet.servedKeys()).isZero();
		this.fleet.join("t-4", 1, "10.0.0.4:80");
		this.fleet.run(3000);
		assertThat(this.fleet.owners()).hasSize(5);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	@Test
	void shouldMoveTheKeysOfADrainingTargetWithinItsDrainTime() {
		settle();
		FleetTarget draining = this.fleet.state.target("t-1").orElseThrow();
		this.fleet.beat(draining.with(Stage.DRAINING), 0);
		this.fleet.run(1000);
		assertThat(this.fleet.owners()).containsExactlyInAnyOrder("t-0", "t-2", "t-3");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against a new leader that renews all leases of a large fleet in one round,
	 * which holds up its heartbeats, and against leases that it then forgets.
	 */
	@Test
	void shouldSpreadTheRenewalsOfANewLeaderOverSeveralRounds() {
		IntStream.range(4, 200).forEach((i) -> this.fleet.join("t-" + i, 1, "10.0.1." + i + ":80"));
		settle();
		this.fleet.lead();
		int before = this.fleet.grants;
		this.fleet.run(50);
		assertThat(this.fleet.grants - before).isBetween(1, 40);
		this.fleet.run(800);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
		assertThat(this.fleet.grants - before).isGreaterThanOrEqualTo(200);
	}

	@Test
	void shouldServeTheKeysOfASilentTargetAgainOnceItsLeaseEnded() {
		settle();
		this.fleet.silent.add("t-1");
		this.fleet.run(2000);
		assertThat(this.fleet.owners()).contains("t-1");
		this.fleet.run(3000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	@Test
	void shouldRenewThroughAnEntryInstanceWhileControlIsCutOffFromATarget() {
		settle();
		this.fleet.cutFromControl.add("t-1");
		IntStream.range(0, 100).forEach((i) -> {
			this.fleet.controller.report("front-1",
					new EntryReport(List.of(new TargetUse("t-1", 3, 300, 300)), List.of()), this.fleet.now);
			this.fleet.run(100);
		});
		assertThat(this.fleet.owners()).contains("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	@Test
	void shouldKeepTheKeysOfATargetThatStartsAgainUnderItsNameUntilItsFormerLeaseEnds() {
		settle();
		this.fleet.join("t-1", 2, "10.0.0.1:80");
		this.fleet.run(1000);
		assertThat(this.fleet.servedKeys()).isLessThan(KeyRange.KEYS);
		this.fleet.run(4000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	@Test
	void shouldFreeTheKeysAtOnceWhenAnotherTargetAnswersAtTheAddress() {
		settle();
		this.fleet.replace("t-1");
		this.fleet.run(1500);
		assertThat(this.fleet.state.target("t-1")).isEmpty();
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	@Test
	void shouldIgnoreALateHeartbeatOfAFormerLife() {
		settle();
		this.fleet.join("t-1", 5, "10.0.0.1:80");
		this.fleet.join("t-1", 1, "10.0.0.1:80");
		assertThat(this.fleet.state.target("t-1").orElseThrow().born()).isEqualTo(5);
		this.fleet.join("t-0", 1, "10.0.0.1:80");
		assertThat(this.fleet.state.target("t-0").orElseThrow().address()).isEqualTo("10.0.0.0:80");
	}

	@Test
	void shouldNotBringBackATargetThatLeft() {
		settle();
		this.fleet.controller.leave("t-1", java.util.Optional.empty()).ifPresent(this.fleet::commit);
		this.fleet.join("t-1", 1, "10.0.0.1:80");
		this.fleet.run(1000);
		assertThat(this.fleet.state.target("t-1").orElseThrow().stage()).isEqualTo(Stage.LEFT);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
	}

	@Test
	void shouldMoveAllKeysOutOfADomainThatIsTakenOut() {
		this.fleet.join("t-long", 1, "10.0.0.9:80");
		settle();
		this.fleet.commit(new SetDomainOut("d-6", true));
		this.fleet.run(1000);
		assertThat(this.fleet.owners()).doesNotContain("t-long").hasSize(4);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	/** A late grant below the fence of another owner broke the rule of sole ownership. */
	@Test
	void shouldRaiseTheFenceOfATargetWithAnUnansweredGrantBeforeItsKeysMove() {
		settle();
		this.fleet.lateOnce.add("t-1");
		this.fleet.run(1200);
		FleetTarget draining = this.fleet.state.target("t-1").orElseThrow();
		this.fleet.beat(draining.with(Stage.DRAINING), 0);
		this.fleet.run(1000);
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		this.fleet.run(4000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
		assertThat(this.fleet.decisions).contains("refence");
	}

	/** A raised fence that was committed first let the same keys be placed twice. */
	@Test
	void shouldPlaceKeysOnceWhileAnotherAssignmentIsCommitted() {
		settle();
		this.fleet.silent.add("t-1");
		this.fleet.run(800);
		for (int i = 0; i < 12; i++) {
			this.fleet.lateOnce.add("t-" + (2 + i % 2));
			this.fleet.run(400);
		}
		assertThat(this.fleet.owners()).doesNotContain("t-1");
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	@Test
	void shouldGiveNoKeysToAColdTarget() {
		settle();
		FleetTarget cold = new FleetTarget("t-9", 1, "s", "10.0.0.9:80", "d", 3, Stage.SERVING);
		this.fleet.beat(cold, 3000);
		this.fleet.run(400);
		assertThat(this.fleet.owners()).doesNotContain("t-9");
		this.fleet.run(4000);
		assertThat(this.fleet.owners()).contains("t-9");
	}

	@Test
	void shouldKeepTheOwnersWhenTheLeaderChanges() {
		settle();
		this.fleet.run(5000);
		List<FleetView.ViewRange> before = this.fleet.controller.viewKeys().get("s");
		this.fleet.run(1500);
		this.fleet.lead();
		this.fleet.run(10_000);
		assertThat(this.fleet.controller.viewKeys().get("s")).isEqualTo(before);
	}

	@Test
	void shouldSpreadHotNeighbouringKeysOverSeveralTargets() {
		settle();
		for (int i = 0; i < 40; i++) {
			List<KeyUse> hot = IntStream.range(500, 560).mapToObj((key) -> new KeyUse("s", key, 12)).toList();
			this.fleet.controller.report("front-1", new EntryReport(List.of(), hot), this.fleet.now);
			this.fleet.run(100);
		}
		long owners = this.fleet.controller.viewKeys()
			.get("s")
			.stream()
			.filter((range) -> range.last() >= 500 && range.first() < 560)
			.map(FleetView.ViewRange::owner)
			.distinct()
			.count();
		assertThat(owners).isGreaterThanOrEqualTo(3);
	}

	/**
	 * Guards against a key map that grows all day as hot keys come and go: each range is
	 * renewed by a call of its own, until the leader can't renew them all.
	 */
	@Test
	void shouldHaveFewRangesAgainOnceHotKeysHaveMovedOn() {
		IntStream.range(4, 20).forEach((i) -> this.fleet.join("t-" + i, 1, "10.0.1." + i + ":80"));
		settle();
		long most = 0;
		for (int i = 0; i < 300; i++) {
			int first = 3000 * (i / 15);
			List<KeyUse> hot = IntStream.range(first, first + 200).mapToObj((key) -> new KeyUse("s", key, 14)).toList();
			this.fleet.controller.report("front-1", new EntryReport(List.of(), hot), this.fleet.now);
			this.fleet.run(100);
			most = Math.max(most, this.fleet.controller.leaseCount());
		}
		this.fleet.run(15_000);
		assertThat(most).isGreaterThan(40);
		assertThat(this.fleet.controller.leaseCount()).isLessThanOrEqualTo(40);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	private void settle() {
		this.fleet.run(3000);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

}

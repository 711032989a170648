package org.redwingramp.core.control;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.EntryHeartbeat.TargetEpoch;
import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.placement.PlacementPolicies;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a gate that moves before it was handed over or the lease of its previous
 * holder has expired, and against repeated or lost proposals.
 */
class ControllerTests {

	private static final long MS = 1_000_000L;

	private static final ControlTiming TIMING = ControlTiming.DEFAULT;

	private static final long GATE_LEASE_WAIT_NANOS = TIMING.grantorWaitNanos(TIMING.gateLeaseNanos());

	private final StateDriver driver = new StateDriver();

	private long now = 5_000 * MS;

	private Controller controller;

	private long sequence;

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.driver.setUp(Fixtures.keyed(Fixtures.KEYED, 4), "t1", "t2");
		this.driver.assignSlices("t1", 0, 1);
		this.driver.assignSlices("t2", 2, 3);
		createController();
	}

	private void createController() {
		this.controller = Controllers.create(this.driver.state, PlacementPolicies.balanced(), TIMING, this.now, 7);
	}

	private EntryHeartbeatReply heartbeat(String name, boolean leaving, List<TargetEpoch> handedOver) {
		EntrySpec spec = Fixtures.entry(name, name.equals("e1") ? "zona-capital" : "zona-mixco");
		this.sequence++;
		return this.controller
			.handleHeartbeat(new EntryHeartbeat(spec, this.sequence, "cluster-1", this.driver.state.view().version(),
					leaving, handedOver, List.of(), List.of(), Map.of(), List.of(), Map.of()), this.now);
	}

	private EntryHeartbeatReply heartbeat(String name) {
		return heartbeat(name, false, List.of());
	}

	private List<Command> tickAndApply() throws InvariantViolatedException {
		List<Command> commands = this.controller.tick(this.now);
		for (Command command : commands) {
			this.driver.apply(command);
		}
		return commands;
	}

	private TargetEpoch targetEpoch(String target) {
		return new TargetEpoch(target, target + "-boot-1", this.driver.target(target).gateEpoch());
	}

	@Test
	void shouldRenewLeasesImmediatelyButRemoveAnUnresponsiveEntryOnlyAfterTheLeaseWait()
			throws InvariantViolatedException {
		long electedAt = this.now;
		this.controller.tick(this.now);
		assertThat(heartbeat("e2").leaseNanos()).isEqualTo(TIMING.gateLeaseNanos());
		while (this.now < electedAt + GATE_LEASE_WAIT_NANOS - 10 * MS) {
			this.now += 10 * MS;
			heartbeat("e2");
			assertThat(tickAndApply()).isEmpty();
		}
		this.now = electedAt + GATE_LEASE_WAIT_NANOS;
		tickAndApply();
		assertThat(this.driver.state.view().entry("e1")).isEmpty();
		assertThat(this.driver.target("t1").gate()).isEqualTo("e2");
		assertThat(this.driver.slice(0).owner()).isEqualTo("t1");
	}

	@Test
	void shouldGrantNoLeaseOnceTheRemovalIsProposed() throws InvariantViolatedException {
		this.controller.tick(this.now);
		this.now += GATE_LEASE_WAIT_NANOS;
		assertThat(this.controller.tick(this.now)).contains(new Command.RemoveEntry("e1", "e1-boot-1"));
		assertThat(heartbeat("e1").leaseNanos()).isZero();
		this.now += 100 * MS;
		assertThat(this.controller.tick(this.now)).isEmpty();
		this.now += 100 * MS;
		assertThat(tickAndApply()).contains(new Command.RemoveEntry("e1", "e1-boot-1"));
		assertThat(heartbeat("e1").leaseNanos()).isZero();
		assertThat(tickAndApply()).contains(new Command.RegisterEntry(Fixtures.entry("e1", "zona-capital")));
		assertThat(heartbeat("e1").leaseNanos()).isPositive();
	}

	@Test
	void shouldRegisterANewIncarnationOnlyAfterThePreviousLeaseHasExpired() throws InvariantViolatedException {
		heartbeat("e1");
		this.controller.tick(this.now);
		long renewed = this.now;
		EntrySpec restarted = new EntrySpec("e1", "127.0.0.1:70", "zona-capital", "e1-boot-2");
		while (this.now < renewed + GATE_LEASE_WAIT_NANOS - 10 * MS) {
			this.now += 10 * MS;
			heartbeat("e2");
			assertThat(this.controller
				.handleHeartbeat(new EntryHeartbeat(restarted, 1, "", 0, false, List.of(), List.of(), List.of(),
						Map.of(), List.of(), Map.of()), this.now)
				.leaseNanos()).isZero();
			assertThat(tickAndApply()).isEmpty();
		}
		this.now = renewed + GATE_LEASE_WAIT_NANOS;
		tickAndApply();
		tickAndApply();
		assertThat(this.driver.state.view().entry("e1").orElseThrow().spec()).isEqualTo(restarted);
		assertThat(this.driver.target("t1").gate()).isNotEqualTo("e1");
	}

	@Test
	void shouldMoveAGateAfterItsHandoverButNotAgainForTheSameEpoch() throws InvariantViolatedException {
		heartbeat("e2");
		this.now += 300 * MS;
		heartbeat("e2");
		TargetEpoch previous = targetEpoch("t1");
		assertThat(heartbeat("e1", true, List.of()).handOver()).isEmpty();
		tickAndApply();
		assertThat(heartbeat("e1", true, List.of()).handOver()).contains(previous, targetEpoch("t2"));
		assertThat(this.driver.target("t1").gate()).isEqualTo("e1");
		heartbeat("e1", true, List.of(previous));
		tickAndApply();
		assertThat(this.driver.target("t1").gate()).isEqualTo("e2");
		long epoch = this.driver.target("t1").gateEpoch();
		this.now += 300 * MS;
		heartbeat("e2");
		heartbeat("e1", true, List.of(previous));
		tickAndApply();
		assertThat(this.driver.target("t1").gateEpoch()).isEqualTo(epoch);
		assertThat(this.driver.state.view().entry("e1").orElseThrow().leaving()).isTrue();
	}

	@Test
	void shouldReleaseShardsOfADomainThatIsOutEvenIfNoTargetCanAcceptThem() throws InvariantViolatedException {
		heartbeat("e1");
		this.driver.apply(Fixtures.domain("zona-capital", 1, DomainState.OUT));
		tickAndApply();
		assertThat(this.driver.state.view().shards(Fixtures.KEYED))
			.allSatisfy((shard) -> assertThat(shard.phase()).isEqualTo(ShardPhase.RELEASING));
		for (int slice = 0; slice < 4; slice++) {
			this.driver.confirmRelease(slice);
		}
		this.now += 300 * MS;
		assertThat(tickAndApply()).isEmpty();
	}

	@Test
	void shouldWaitForEarlierGrantsToExpireWhenAServiceIsCreatedAgain() throws InvariantViolatedException {
		this.driver.apply(new Command.WithdrawRecord(org.redwingramp.core.model.RecordKind.SERVICE, Fixtures.KEYED, 1,
				"operator"));
		this.driver.apply(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 4), Fixtures.KEYED, 2, "again"));
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1")));
		this.driver.assignGate("t1", "e1");
		long created = this.now;
		while (this.driver.slice(0).phase() == ShardPhase.UNOWNED) {
			this.now += 10 * MS;
			heartbeat("e1");
			heartbeat("e2");
			tickAndApply();
		}
		assertThat(this.now - created).isGreaterThanOrEqualTo(TIMING.grantorWaitNanos(TIMING.grantLeaseNanos()));
	}

	@Test
	void shouldReportTheLowestAcknowledgedVersionAsInForce() throws InvariantViolatedException {
		this.controller.tick(this.now);
		assertThat(this.controller.versionInForce(this.now)).isZero();
		heartbeat("e1");
		long acknowledged = this.driver.state.view().version();
		this.driver.apply(Fixtures.domain("zona-x", 1, DomainState.IN));
		heartbeat("e2");
		assertThat(this.controller.versionInForce(this.now)).isEqualTo(acknowledged);
		heartbeat("e1");
		assertThat(this.controller.versionInForce(this.now)).isEqualTo(acknowledged + 1);
	}

}

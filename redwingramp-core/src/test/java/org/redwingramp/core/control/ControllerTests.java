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
 * Guards against a gate that moves before the former gate's lease is over or handed over,
 * and against repeated or lost proposals.
 */
class ControllerTests {

	private static final long MS = 1_000_000L;

	private static final ControlTiming TIMING = ControlTiming.DEFAULT;

	private static final long WAIT = TIMING.waitedNanos(TIMING.gateLeaseNanos());

	private final StateDriver driver = new StateDriver();

	private long now = 5_000 * MS;

	private Controller controller;

	private long sequence;

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.driver.start(Fixtures.keyed(Fixtures.KEYED, 4), "t1", "t2");
		this.driver.own("t1", 0, 1);
		this.driver.own("t2", 2, 3);
		elect();
	}

	private void elect() {
		this.controller = Controllers.create(this.driver.state, PlacementPolicies.balanced(), TIMING, this.now, 7);
	}

	private EntryHeartbeatReply beat(String name, boolean leaving, List<TargetEpoch> handedOver) {
		EntrySpec spec = Fixtures.entry(name, name.equals("e1") ? "zona-capital" : "zona-mixco");
		this.sequence++;
		return this.controller
			.heartbeat(new EntryHeartbeat(spec, this.sequence, "cluster-1", this.driver.state.view().version(), leaving,
					handedOver, List.of(), List.of(), Map.of(), List.of(), Map.of()), this.now);
	}

	private EntryHeartbeatReply beat(String name) {
		return beat(name, false, List.of());
	}

	private List<Command> tickAndApply() throws InvariantViolatedException {
		List<Command> commands = this.controller.tick(this.now);
		for (Command command : commands) {
			this.driver.apply(command);
		}
		return commands;
	}

	private TargetEpoch epoch(String target) {
		return new TargetEpoch(target, target + "-boot-1", this.driver.target(target).gateEpoch());
	}

	@Test
	void shouldExtendLeasesAtOnceButRemoveAnUnheardEntryOnlyAfterTheWait() throws InvariantViolatedException {
		long electedAt = this.now;
		this.controller.tick(this.now);
		assertThat(beat("e2").leaseNanos()).isEqualTo(TIMING.gateLeaseNanos());
		while (this.now < electedAt + WAIT - 10 * MS) {
			this.now += 10 * MS;
			beat("e2");
			assertThat(tickAndApply()).isEmpty();
		}
		this.now = electedAt + WAIT;
		tickAndApply();
		assertThat(this.driver.state.view().entry("e1")).isEmpty();
		assertThat(this.driver.target("t1").gate()).isEqualTo("e2");
		assertThat(this.driver.slice(0).owner()).isEqualTo("t1");
	}

	@Test
	void shouldGiveNoLeaseOnceTheRemovalIsProposed() throws InvariantViolatedException {
		this.controller.tick(this.now);
		this.now += WAIT;
		assertThat(this.controller.tick(this.now)).contains(new Command.RemoveEntry("e1", "e1-boot-1"));
		assertThat(beat("e1").leaseNanos()).isZero();
		this.now += 100 * MS;
		assertThat(this.controller.tick(this.now)).isEmpty();
		this.now += 100 * MS;
		assertThat(tickAndApply()).contains(new Command.RemoveEntry("e1", "e1-boot-1"));
		assertThat(beat("e1").leaseNanos()).isZero();
		assertThat(tickAndApply()).contains(new Command.RegisterEntry(Fixtures.entry("e1", "zona-capital")));
		assertThat(beat("e1").leaseNanos()).isPositive();
	}

	@Test
	void shouldRegisterANewRunOnlyAfterTheFormerRunsLease() throws InvariantViolatedException {
		beat("e1");
		this.controller.tick(this.now);
		long renewed = this.now;
		EntrySpec second = new EntrySpec("e1", "127.0.0.1:70", "zona-capital", "e1-boot-2");
		while (this.now < renewed + WAIT - 10 * MS) {
			this.now += 10 * MS;
			beat("e2");
			assertThat(this.controller
				.heartbeat(new EntryHeartbeat(second, 1, "", 0, false, List.of(), List.of(), List.of(), Map.of(),
						List.of(), Map.of()), this.now)
				.leaseNanos()).isZero();
			assertThat(tickAndApply()).isEmpty();
		}
		this.now = renewed + WAIT;
		tickAndApply();
		tickAndApply();
		assertThat(this.driver.state.view().entry("e1").orElseThrow().spec()).isEqualTo(second);
		assertThat(this.driver.target("t1").gate()).isNotEqualTo("e1");
	}

	@Test
	void shouldMoveAGateOnceItIsHandedOverAndNotTwice() throws InvariantViolatedException {
		beat("e2");
		this.now += 300 * MS;
		beat("e2");
		TargetEpoch former = epoch("t1");
		assertThat(beat("e1", true, List.of()).handOver()).isEmpty();
		tickAndApply();
		assertThat(beat("e1", true, List.of()).handOver()).contains(former, epoch("t2"));
		assertThat(this.driver.target("t1").gate()).isEqualTo("e1");
		beat("e1", true, List.of(former));
		tickAndApply();
		assertThat(this.driver.target("t1").gate()).isEqualTo("e2");
		long epoch = this.driver.target("t1").gateEpoch();
		this.now += 300 * MS;
		beat("e2");
		beat("e1", true, List.of(former));
		tickAndApply();
		assertThat(this.driver.target("t1").gateEpoch()).isEqualTo(epoch);
		assertThat(this.driver.state.view().entry("e1").orElseThrow().leaving()).isTrue();
	}

	@Test
	void shouldReleaseShardsOfADomainThatIsOutEvenIfNoneCanTakeThem() throws InvariantViolatedException {
		beat("e1");
		this.driver.apply(Fixtures.domain("zona-capital", 1, DomainState.OUT));
		tickAndApply();
		assertThat(this.driver.state.view().shards(Fixtures.KEYED))
			.allSatisfy((shard) -> assertThat(shard.phase()).isEqualTo(ShardPhase.RELEASING));
		for (int slice = 0; slice < 4; slice++) {
			this.driver.released(slice);
		}
		this.now += 300 * MS;
		assertThat(tickAndApply()).isEmpty();
	}

	@Test
	void shouldWaitForFormerGrantsWhenAServiceIsCreatedAgain() throws InvariantViolatedException {
		this.driver.apply(new Command.WithdrawRecord(org.redwingramp.core.model.RecordKind.SERVICE, Fixtures.KEYED, 1,
				"operator"));
		this.driver.apply(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 4), Fixtures.KEYED, 2, "again"));
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1")));
		this.driver.assignGate("t1", "e1");
		long created = this.now;
		while (this.driver.slice(0).phase() == ShardPhase.UNOWNED) {
			this.now += 10 * MS;
			beat("e1");
			beat("e2");
			tickAndApply();
		}
		assertThat(this.now - created).isGreaterThanOrEqualTo(TIMING.waitedNanos(TIMING.grantLeaseNanos()));
	}

	@Test
	void shouldReportTheLowestAcknowledgedVersionAsInForce() throws InvariantViolatedException {
		this.controller.tick(this.now);
		assertThat(this.controller.versionInForce(this.now)).isZero();
		beat("e1");
		long acknowledged = this.driver.state.view().version();
		this.driver.apply(Fixtures.domain("zona-x", 1, DomainState.IN));
		beat("e2");
		assertThat(this.controller.versionInForce(this.now)).isEqualTo(acknowledged);
		beat("e1");
		assertThat(this.controller.versionInForce(this.now)).isEqualTo(acknowledged + 1);
	}

}

package org.redwingramp.core.control;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.EntryHeartbeat.TargetEpoch;
import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.ShardId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are sent without a valid gate lease and grant lease, or to
 * a target that does not own the shard according to the view.
 */
class EntryAgentTests {

	private static final long MS = 1_000_000L;

	private static final ControlTiming TIMING = ControlTiming.DEFAULT;

	private static final long TARGET_CLOCK_MILLIS = 50_000;

	private final StateDriver driver = new StateDriver();

	private final EntryAgent agent = EntryAgents.create(Fixtures.entry("e1", "zona-capital"), TIMING);

	private long now = 1_000_000 * MS;

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.driver.setUp(Fixtures.keyed(Fixtures.KEYED, 4), "t1", "t2");
		this.driver.assignSlices("t1", 0, 1);
		exchangeHeartbeat();
	}

	private EntryHeartbeat exchangeHeartbeat(TargetEpoch... handedOver) throws InvariantViolatedException {
		EntryHeartbeat heartbeat = this.agent.nextHeartbeat(new GateReports(false, List.of(handedOver), List.of(),
				java.util.Map.of(), List.of(), java.util.Map.of()), this.now);
		replyTo(heartbeat, List.of());
		return heartbeat;
	}

	private void replyTo(EntryHeartbeat heartbeat, List<TargetEpoch> handOver) throws InvariantViolatedException {
		Optional<ViewUpdate> update = Optional.of(this.driver.state.changesSince(heartbeat.viewVersion()));
		this.agent.handleHeartbeatReply(
				new EntryHeartbeatReply(heartbeat.sequence(), 1, TIMING.gateLeaseNanos(), update, handOver), this.now);
	}

	private Grant exchangeGrant(String bootId, int inFlight) {
		Grant grant = this.agent.nextGrant("t1", this.now);
		this.agent.handleGrantReply("t1", grant.epoch(),
				new GrantReply(TARGET_CLOCK_MILLIS + this.now / MS, bootId, grant.epoch(), inFlight, grant.number()),
				this.now);
		return grant;
	}

	private Grant exchangeGrant() {
		return exchangeGrant("t1-boot-1", 0);
	}

	private boolean mayDispatch(int slice) {
		return this.agent.mayDispatch("t1", this.driver.slice(slice).id(), this.driver.slice(slice).fence(), this.now);
	}

	@Test
	void shouldSendTheFirstGrantWithoutALeaseAndDispatchAfterTheSecond() {
		assertThat(exchangeGrant().leaseUntilMillis()).isZero();
		assertThat(mayDispatch(0)).isFalse();
		long clockReading = TARGET_CLOCK_MILLIS + this.now / MS;
		this.now += 100 * MS;
		assertThat(exchangeGrant().leaseUntilMillis()).isEqualTo(clockReading + 400);
		assertThat(mayDispatch(0)).isTrue();
		assertThat(mayDispatch(2)).isFalse();
		assertThat(this.agent.mayDispatch("t1", this.driver.slice(0).id(), this.driver.slice(0).fence() + 1, this.now))
			.isFalse();
		this.now += 292 * MS;
		assertThat(mayDispatch(0)).isFalse();
	}

	@Test
	void shouldDispatchOnlyOnceTheTargetHasAcknowledgedTheShard() throws InvariantViolatedException {
		exchangeGrant();
		exchangeGrant();
		this.driver.assignSlices("t1", 2);
		exchangeHeartbeat();
		assertThat(mayDispatch(1)).isTrue();
		assertThat(mayDispatch(2)).isFalse();
		exchangeGrant();
		assertThat(mayDispatch(2)).isTrue();
	}

	@Test
	void shouldCountTheGrantLeaseFromTheSendTimeOfTheGrantThatReturnedTheClockReading() {
		Grant first = this.agent.nextGrant("t1", this.now);
		long sent = this.now;
		this.now += 150 * MS;
		this.agent.handleGrantReply("t1", first.epoch(),
				new GrantReply(TARGET_CLOCK_MILLIS, "t1-boot-1", first.epoch(), 0, first.number()), this.now);
		Grant second = this.agent.nextGrant("t1", this.now);
		this.agent.handleGrantReply("t1", first.epoch(),
				new GrantReply(TARGET_CLOCK_MILLIS + 1, "t1-boot-1", first.epoch(), 0, second.number()), this.now);
		assertThat(second.leaseUntilMillis()).isEqualTo(TARGET_CLOCK_MILLIS + 400);
		this.now = sent + TIMING.holderLeaseNanos(TIMING.grantLeaseNanos()) - 1;
		assertThat(mayDispatch(0)).isTrue();
		this.now++;
		assertThat(mayDispatch(0)).isFalse();
	}

	@Test
	void shouldNeverGrantBeyondTheGateLease() {
		exchangeGrant();
		this.now += 600 * MS;
		exchangeGrant();
		// The gate lease of 700 ms, less 2% for clock drift, ends in 86 ms.
		assertThat(exchangeGrant().leaseUntilMillis()).isLessThan(TARGET_CLOCK_MILLIS + this.now / MS + 87);
		this.now = this.agent.gateLeaseEnd();
		assertThat(mayDispatch(0)).isFalse();
		assertThat(exchangeGrant().leaseUntilMillis()).isZero();
	}

	@Test
	void shouldCountTheGateLeaseFromTheSendTimeOfTheHeartbeat() throws InvariantViolatedException {
		long sent = this.now;
		EntryHeartbeat heartbeat = this.agent.nextHeartbeat(GateReports.NONE, sent);
		EntryHeartbeat newer = this.agent.nextHeartbeat(GateReports.NONE, sent + 10 * MS);
		this.now += 300 * MS;
		replyTo(newer, List.of());
		long end = sent + 10 * MS + TIMING.holderLeaseNanos(TIMING.gateLeaseNanos());
		assertThat(this.agent.gateLeaseEnd()).isEqualTo(end);
		replyTo(heartbeat, List.of());
		assertThat(this.agent.gateLeaseEnd()).isEqualTo(end);
		assertThat(this.agent.mayRoute(sent + 2_900 * MS)).isTrue();
		assertThat(this.agent.mayRoute(sent + 3_000 * MS)).isFalse();
	}

	@Test
	void shouldIgnoreRepliesOfAnotherIncarnationOrEpochOrTerm() throws InvariantViolatedException {
		exchangeGrant("another-boot", 0);
		Grant grant = this.agent.nextGrant("t1", this.now);
		this.agent.handleGrantReply("t1", grant.epoch() - 1,
				new GrantReply(9, "t1-boot-1", grant.epoch() - 1, 0, grant.number()), this.now);
		this.agent.handleGrantReply("t1", grant.epoch(),
				new GrantReply(9, "t1-boot-1", grant.epoch() + 1, 0, grant.number()), this.now);
		assertThat(this.agent.nextGrant("t1", this.now).leaseUntilMillis()).isZero();
		EntryHeartbeat heartbeat = this.agent.nextHeartbeat(GateReports.NONE, this.now + MS);
		long end = this.agent.gateLeaseEnd();
		this.agent.handleHeartbeatReply(
				new EntryHeartbeatReply(heartbeat.sequence(), 0, TIMING.gateLeaseNanos(), Optional.empty(), List.of()),
				this.now + MS);
		assertThat(this.agent.gateLeaseEnd()).isEqualTo(end);
	}

	@Test
	void shouldReportALostTargetOnlyAfterTheLeaseAndNotDispatchToItAgain() throws InvariantViolatedException {
		exchangeGrant();
		this.now += 100 * MS;
		exchangeGrant();
		this.now += 100 * MS;
		long repliedAt = this.now - 100 * MS;
		this.agent.nextGrant("t1", this.now);
		this.now = repliedAt + TIMING.grantorWaitNanos(TIMING.grantLeaseNanos()) - 1;
		assertThat(this.agent.lost("t1", this.now)).isFalse();
		this.now++;
		assertThat(this.agent.lost("t1", this.now)).isTrue();
		assertThat(exchangeHeartbeat().lost())
			.containsExactly(new TargetEpoch("t1", "t1-boot-1", this.driver.target("t1").gateEpoch()));
		exchangeGrant();
		exchangeGrant();
		assertThat(mayDispatch(0)).isFalse();
	}

	@Test
	void shouldReportALostTargetAfterOneFailedGrantWhenThePreviousGateIsRemoved() throws InvariantViolatedException {
		this.driver.assignGate("t1", "e2");
		exchangeHeartbeat();
		this.driver.apply(new Command.RemoveEntry("e2", "e2-boot-1"));
		this.driver.assignGate("t1", "e1");
		exchangeHeartbeat();
		this.agent.nextGrant("t1", this.now);
		assertThat(this.agent.lost("t1", this.now + 199 * MS)).isFalse();
		assertThat(this.agent.lost("t1", this.now + 200 * MS)).isTrue();
	}

	@Test
	void shouldWaitForThePreviousGatesGrantsToExpireAfterAHandover() throws InvariantViolatedException {
		this.driver.assignGate("t1", "e2");
		exchangeHeartbeat();
		this.driver.assignGate("t1", "e1");
		exchangeHeartbeat();
		this.agent.nextGrant("t1", this.now);
		// The grant lease of 400 ms plus 2% for clock drift.
		assertThat(this.agent.lost("t1", this.now + 407 * MS)).isFalse();
		assertThat(this.agent.lost("t1", this.now + 408 * MS)).isTrue();
	}

	@Test
	void shouldReportAReleaseOnlyAfterDrainingAndWithdrawingTheGrant() throws InvariantViolatedException {
		exchangeGrant();
		exchangeGrant();
		this.driver.releaseSlice(0);
		Command.FencedShard shard = this.driver.fencedSlice(0);
		this.agent.drained(shard.shard(), shard.fence());
		exchangeHeartbeat();
		assertThat(mayDispatch(0)).isFalse();
		assertThat(mayDispatch(1)).isTrue();
		assertThat(exchangeGrant().shards()).contains(shard);
		assertThat(exchangeHeartbeat().released()).isEmpty();
		this.agent.drained(shard.shard(), shard.fence());
		assertThat(exchangeHeartbeat().released()).isEmpty();
		assertThat(exchangeGrant().shards()).doesNotContain(shard);
		assertThat(exchangeHeartbeat().released()).containsExactly(shard);
	}

	@Test
	void shouldNotReportAReleaseWhileRequestsOfThePreviousGateMayRun() throws InvariantViolatedException {
		this.driver.releaseSlice(0);
		exchangeHeartbeat();
		Command.FencedShard shard = this.driver.fencedSlice(0);
		this.agent.drained(shard.shard(), shard.fence());
		exchangeGrant("t1-boot-1", 1);
		exchangeGrant("t1-boot-1", 1);
		assertThat(exchangeHeartbeat().released()).isEmpty();
		exchangeGrant("t1-boot-1", 0);
		exchangeGrant("t1-boot-1", 0);
		assertThat(exchangeHeartbeat().released()).containsExactly(shard);
	}

	@Test
	void shouldStopDispatchingOnceAHandoverIsRequestedAndStopGrantingOnceItIsDone() throws InvariantViolatedException {
		exchangeGrant();
		exchangeGrant();
		TargetEpoch target = new TargetEpoch("t1", "t1-boot-1", this.driver.target("t1").gateEpoch());
		replyTo(this.agent.nextHeartbeat(GateReports.NONE, this.now), List.of(target));
		assertThat(this.agent.handoverRequested("t1")).isTrue();
		assertThat(mayDispatch(0)).isFalse();
		assertThat(exchangeGrant().leaseUntilMillis()).isPositive();
		assertThat(exchangeHeartbeat(target).handedOver()).containsExactly(target);
		assertThat(exchangeGrant().epoch()).isZero();
		assertThat(this.agent.lost("t1", this.now + 1_000 * MS)).isFalse();
		assertThat(exchangeHeartbeat().handedOver()).containsExactly(target);
	}

	@Test
	void shouldNotDispatchToATargetWithoutKeysThatDrainsOrWhoseDomainIsOut() throws InvariantViolatedException {
		this.driver.apply(Fixtures.submit(Fixtures.plain(Fixtures.PLAIN)));
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1x", Fixtures.PLAIN, "zona-mixco", "boot")));
		this.driver.assignGate("t1x", "e1");
		exchangeHeartbeat();
		for (int i = 0; i < 2; i++) {
			Grant grant = this.agent.nextGrant("t1x", this.now);
			this.agent.handleGrantReply("t1x", grant.epoch(),
					new GrantReply(TARGET_CLOCK_MILLIS, "boot", grant.epoch(), 0, grant.number()), this.now);
		}
		ShardId none = ShardId.slice("", 0);
		assertThat(this.agent.mayDispatch("t1x", none, 0, this.now)).isTrue();
		this.driver.apply(Fixtures.domain("zona-mixco", 1, DomainState.OUT));
		exchangeHeartbeat();
		assertThat(this.agent.mayDispatch("t1x", none, 0, this.now)).isFalse();
		this.driver.apply(Fixtures.domain("zona-mixco", 2, DomainState.IN));
		this.driver.apply(new Command.DrainTarget("t1x", "boot"));
		exchangeHeartbeat();
		assertThat(this.agent.mayDispatch("t1x", none, 0, this.now)).isFalse();
	}

}

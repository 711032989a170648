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
 * Guards against a request that is sent outside of a gate lease, a grant lease or the
 * ownership in the view.
 */
class EntryAgentTests {

	private static final long MS = 1_000_000L;

	private static final ControlTiming TIMING = ControlTiming.DEFAULT;

	private static final long CLOCK = 50_000;

	private final StateDriver driver = new StateDriver();

	private final EntryAgent agent = EntryAgents.create(Fixtures.entry("e1", "zona-capital"), TIMING);

	private long now = 1_000_000 * MS;

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.driver.start(Fixtures.keyed(Fixtures.KEYED, 4), "t1", "t2");
		this.driver.own("t1", 0, 1);
		beat();
	}

	private EntryHeartbeat beat(TargetEpoch... handedOver) throws InvariantViolatedException {
		EntryHeartbeat heartbeat = this.agent.heartbeat(new GateReports(false, List.of(handedOver), List.of(),
				java.util.Map.of(), List.of(), java.util.Map.of()), this.now);
		reply(heartbeat, List.of());
		return heartbeat;
	}

	private void reply(EntryHeartbeat heartbeat, List<TargetEpoch> handOver) throws InvariantViolatedException {
		Optional<ViewUpdate> update = Optional.of(this.driver.state.changesSince(heartbeat.viewVersion()));
		this.agent.reply(new EntryHeartbeatReply(heartbeat.sequence(), 1, TIMING.gateLeaseNanos(), update, handOver),
				this.now);
	}

	private Grant grant(String bootId, int inFlight) {
		Grant grant = this.agent.nextGrant("t1", this.now);
		this.agent.grantReply("t1", grant.epoch(),
				new GrantReply(CLOCK + this.now / MS, bootId, grant.epoch(), inFlight, grant.number()), this.now);
		return grant;
	}

	private Grant grant() {
		return grant("t1-boot-1", 0);
	}

	private boolean mayDispatch(int slice) {
		return this.agent.mayDispatch("t1", this.driver.slice(slice).id(), this.driver.slice(slice).fence(), this.now);
	}

	@Test
	void shouldNameNoLeaseInTheFirstGrantAndDispatchAfterTheSecond() {
		assertThat(grant().leaseUntilMillis()).isZero();
		assertThat(mayDispatch(0)).isFalse();
		long reading = CLOCK + this.now / MS;
		this.now += 100 * MS;
		assertThat(grant().leaseUntilMillis()).isEqualTo(reading + 400);
		assertThat(mayDispatch(0)).isTrue();
		assertThat(mayDispatch(2)).isFalse();
		assertThat(this.agent.mayDispatch("t1", this.driver.slice(0).id(), this.driver.slice(0).fence() + 1, this.now))
			.isFalse();
		this.now += 292 * MS;
		assertThat(mayDispatch(0)).isFalse();
	}

	@Test
	void shouldDispatchOnlyOnceTheTargetHasAcknowledgedTheShard() throws InvariantViolatedException {
		grant();
		grant();
		this.driver.own("t1", 2);
		beat();
		assertThat(mayDispatch(1)).isTrue();
		assertThat(mayDispatch(2)).isFalse();
		grant();
		assertThat(mayDispatch(2)).isTrue();
	}

	@Test
	void shouldCountTheGrantLeaseFromTheSendTimeOfTheGrantThatFetchedTheReading() {
		Grant first = this.agent.nextGrant("t1", this.now);
		long sent = this.now;
		this.now += 150 * MS;
		this.agent.grantReply("t1", first.epoch(), new GrantReply(CLOCK, "t1-boot-1", first.epoch(), 0, first.number()),
				this.now);
		Grant second = this.agent.nextGrant("t1", this.now);
		this.agent.grantReply("t1", first.epoch(),
				new GrantReply(CLOCK + 1, "t1-boot-1", first.epoch(), 0, second.number()), this.now);
		assertThat(second.leaseUntilMillis()).isEqualTo(CLOCK + 400);
		this.now = sent + TIMING.heldNanos(TIMING.grantLeaseNanos()) - 1;
		assertThat(mayDispatch(0)).isTrue();
		this.now++;
		assertThat(mayDispatch(0)).isFalse();
	}

	@Test
	void shouldNeverGrantBeyondTheGateLease() {
		grant();
		this.now += 600 * MS;
		grant();
		assertThat(grant().leaseUntilMillis()).isLessThan(CLOCK + this.now / MS + 87);
		this.now = this.agent.gateLeaseEnd();
		assertThat(mayDispatch(0)).isFalse();
		assertThat(grant().leaseUntilMillis()).isZero();
	}

	@Test
	void shouldCountTheGateLeaseFromTheSendTimeOfTheHeartbeat() throws InvariantViolatedException {
		long sent = this.now;
		EntryHeartbeat heartbeat = this.agent.heartbeat(GateReports.NONE, sent);
		EntryHeartbeat newer = this.agent.heartbeat(GateReports.NONE, sent + 10 * MS);
		this.now += 300 * MS;
		reply(newer, List.of());
		long end = sent + 10 * MS + TIMING.heldNanos(TIMING.gateLeaseNanos());
		assertThat(this.agent.gateLeaseEnd()).isEqualTo(end);
		reply(heartbeat, List.of());
		assertThat(this.agent.gateLeaseEnd()).isEqualTo(end);
		assertThat(this.agent.mayRoute(sent + 2_900 * MS)).isTrue();
		assertThat(this.agent.mayRoute(sent + 3_000 * MS)).isFalse();
	}

	@Test
	void shouldIgnoreRepliesOfAnotherRunOrEpochOrTerm() throws InvariantViolatedException {
		grant("another-boot", 0);
		Grant grant = this.agent.nextGrant("t1", this.now);
		this.agent.grantReply("t1", grant.epoch() - 1,
				new GrantReply(9, "t1-boot-1", grant.epoch() - 1, 0, grant.number()), this.now);
		this.agent.grantReply("t1", grant.epoch(), new GrantReply(9, "t1-boot-1", grant.epoch() + 1, 0, grant.number()),
				this.now);
		assertThat(this.agent.nextGrant("t1", this.now).leaseUntilMillis()).isZero();
		EntryHeartbeat heartbeat = this.agent.heartbeat(GateReports.NONE, this.now + MS);
		long end = this.agent.gateLeaseEnd();
		this.agent.reply(
				new EntryHeartbeatReply(heartbeat.sequence(), 0, TIMING.gateLeaseNanos(), Optional.empty(), List.of()),
				this.now + MS);
		assertThat(this.agent.gateLeaseEnd()).isEqualTo(end);
	}

	@Test
	void shouldReportALossOnlyAfterTheLeaseAndStopForGood() throws InvariantViolatedException {
		grant();
		this.now += 100 * MS;
		grant();
		this.now += 100 * MS;
		long answered = this.now - 100 * MS;
		this.agent.nextGrant("t1", this.now);
		this.now = answered + TIMING.waitedNanos(TIMING.grantLeaseNanos()) - 1;
		assertThat(this.agent.lost("t1", this.now)).isFalse();
		this.now++;
		assertThat(this.agent.lost("t1", this.now)).isTrue();
		assertThat(beat().lost())
			.containsExactly(new TargetEpoch("t1", "t1-boot-1", this.driver.target("t1").gateEpoch()));
		grant();
		grant();
		assertThat(mayDispatch(0)).isFalse();
	}

	@Test
	void shouldReportALossAfterOneFailedRenewalWhenTheFormerGateIsRemoved() throws InvariantViolatedException {
		this.driver.assignGate("t1", "e2");
		beat();
		this.driver.apply(new Command.RemoveEntry("e2", "e2-boot-1"));
		this.driver.assignGate("t1", "e1");
		beat();
		this.agent.nextGrant("t1", this.now);
		assertThat(this.agent.lost("t1", this.now + 199 * MS)).isFalse();
		assertThat(this.agent.lost("t1", this.now + 200 * MS)).isTrue();
	}

	@Test
	void shouldWaitForTheFormerGatesGrantsAfterAHandOver() throws InvariantViolatedException {
		this.driver.assignGate("t1", "e2");
		beat();
		this.driver.assignGate("t1", "e1");
		beat();
		this.agent.nextGrant("t1", this.now);
		assertThat(this.agent.lost("t1", this.now + 407 * MS)).isFalse();
		assertThat(this.agent.lost("t1", this.now + 408 * MS)).isTrue();
	}

	@Test
	void shouldStopDrainWithdrawAndThenReportARelease() throws InvariantViolatedException {
		grant();
		grant();
		this.driver.release(0);
		Command.FencedShard shard = this.driver.fenced(0);
		this.agent.drained(shard.shard(), shard.fence());
		beat();
		assertThat(mayDispatch(0)).isFalse();
		assertThat(mayDispatch(1)).isTrue();
		assertThat(grant().shards()).contains(shard);
		assertThat(beat().released()).isEmpty();
		this.agent.drained(shard.shard(), shard.fence());
		assertThat(beat().released()).isEmpty();
		assertThat(grant().shards()).doesNotContain(shard);
		assertThat(beat().released()).containsExactly(shard);
	}

	@Test
	void shouldNotReleaseWhileAFormerGatesRequestsMayRun() throws InvariantViolatedException {
		this.driver.release(0);
		beat();
		Command.FencedShard shard = this.driver.fenced(0);
		this.agent.drained(shard.shard(), shard.fence());
		grant("t1-boot-1", 1);
		grant("t1-boot-1", 1);
		assertThat(beat().released()).isEmpty();
		grant("t1-boot-1", 0);
		grant("t1-boot-1", 0);
		assertThat(beat().released()).containsExactly(shard);
	}

	@Test
	void shouldStopNewWorkWhenAskedToHandOverAndAllWorkOnceHandedOver() throws InvariantViolatedException {
		grant();
		grant();
		TargetEpoch target = new TargetEpoch("t1", "t1-boot-1", this.driver.target("t1").gateEpoch());
		reply(this.agent.heartbeat(GateReports.NONE, this.now), List.of(target));
		assertThat(this.agent.handOver("t1")).isTrue();
		assertThat(mayDispatch(0)).isFalse();
		assertThat(grant().leaseUntilMillis()).isPositive();
		assertThat(beat(target).handedOver()).containsExactly(target);
		assertThat(grant().epoch()).isZero();
		assertThat(this.agent.lost("t1", this.now + 1_000 * MS)).isFalse();
		assertThat(beat().handedOver()).containsExactly(target);
	}

	@Test
	void shouldSendNothingToATargetWithoutKeysThatDrainsOrWhoseDomainIsOut() throws InvariantViolatedException {
		this.driver.apply(Fixtures.submit(Fixtures.plain(Fixtures.PLAIN)));
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1x", Fixtures.PLAIN, "zona-mixco", "boot")));
		this.driver.assignGate("t1x", "e1");
		beat();
		for (int i = 0; i < 2; i++) {
			Grant grant = this.agent.nextGrant("t1x", this.now);
			this.agent.grantReply("t1x", grant.epoch(), new GrantReply(CLOCK, "boot", grant.epoch(), 0, grant.number()),
					this.now);
		}
		ShardId none = ShardId.slice("", 0);
		assertThat(this.agent.mayDispatch("t1x", none, 0, this.now)).isTrue();
		this.driver.apply(Fixtures.domain("zona-mixco", 1, DomainState.OUT));
		beat();
		assertThat(this.agent.mayDispatch("t1x", none, 0, this.now)).isFalse();
		this.driver.apply(Fixtures.domain("zona-mixco", 2, DomainState.IN));
		this.driver.apply(new Command.DrainTarget("t1x", "boot"));
		beat();
		assertThat(this.agent.mayDispatch("t1x", none, 0, this.now)).isFalse();
	}

}

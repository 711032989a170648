package org.redwingramp.core.control;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.CommandResult.Begun.Status;
import org.redwingramp.core.model.RecordBody;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a second run of a request that runs at most once.
 */
class LedgerTests {

	private static final RequestIdentity REQUEST = new RequestIdentity(Fixtures.KEYED, "visit-1",
			StateDriver.START_MILLIS);

	private static final StoredAnswer ANSWER = StoredAnswer.of(200, "text/plain", new byte[] { 1, 2 });

	private static final long RETENTION_MILLIS = 3_600_000;

	private final StateDriver driver = new StateDriver();

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.driver.start(Fixtures.keyed(Fixtures.KEYED, 4), "t1", "t2");
		this.driver.own("t1", 0, 1, 2, 3);
	}

	private Begun begin(RequestIdentity request, String digest) throws InvariantViolatedException {
		TargetState target = this.driver.target("t1");
		return (Begun) this.driver.apply(new Command.BeginRequest(request, digest, "t1", target.gate(),
				target.gateEpoch(), this.driver.slice(0).id(), this.driver.slice(0).fence(), 2_000));
	}

	private Status begin() throws InvariantViolatedException {
		return begin(REQUEST, "d").status();
	}

	@Test
	void shouldStartOnceAndReturnTheAnswerToAResendThroughAnotherGate() throws InvariantViolatedException {
		Begun begun = begin(REQUEST, "d");
		assertThat(begun.status()).isEqualTo(Status.STARTED);
		assertThat(begun.attempt()).isEqualTo(this.driver.index);
		assertThat(begin()).isEqualTo(Status.RUNNING);
		this.driver.apply(new Command.FinishRequest(REQUEST, begun.attempt(), ANSWER));
		this.driver.assignGate("t1", "e2");
		Begun resent = begin(REQUEST, "d");
		assertThat(resent.status()).isEqualTo(Status.DONE);
		assertThat(resent.answer()).contains(ANSWER);
		assertThat(begin(REQUEST, "other").status()).isEqualTo(Status.DIGEST_MISMATCH);
	}

	@Test
	void shouldTurnUnknownWhenTheGateIsLostBetweenBeginAndSend() throws InvariantViolatedException {
		long attempt = begin(REQUEST, "d").attempt();
		this.driver.apply(new Command.RemoveEntry("e1", "e1-boot-1"));
		this.driver.assignGate("t1", "e2");
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
		this.driver.apply(new Command.FinishRequest(REQUEST, attempt, ANSWER));
		assertThat(begin()).isEqualTo(Status.DONE);
	}

	@Test
	void shouldTurnUnknownWhenTheTargetIsLostAndAnnouncedAgain() throws InvariantViolatedException {
		begin();
		this.driver.apply(new Command.TargetLost("t1", "t1-boot-1", this.driver.target("t1").gateEpoch()));
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1")));
		this.driver.assignGate("t1", "e1");
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
	}

	@Test
	void shouldTurnUnknownAfterItsTimeByAClockThatNeverFalls() throws InvariantViolatedException {
		begin();
		this.driver.clockMillis += 1_999;
		assertThat(begin()).isEqualTo(Status.RUNNING);
		this.driver.clockMillis += 1;
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
		this.driver.clockMillis -= 60_000;
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
	}

	@Test
	void shouldStartAgainAfterAnAbortAndIgnoreTheFormerAttempt() throws InvariantViolatedException {
		long first = begin(REQUEST, "d").attempt();
		assertThat(this.driver.refusal(new Command.AbortRequest(REQUEST, first))).isNull();
		Begun second = begin(REQUEST, "d");
		assertThat(second.status()).isEqualTo(Status.STARTED);
		assertThat(this.driver.refusal(new Command.FinishRequest(REQUEST, first, ANSWER))).isEqualTo(RefusalCode.STALE);
		assertThat(this.driver.refusal(new Command.AbortRequest(REQUEST, first))).isEqualTo(RefusalCode.STALE);
		assertThat(this.driver.refusal(new Command.MarkUnknown(REQUEST, first))).isEqualTo(RefusalCode.STALE);
		assertThat(begin()).isEqualTo(Status.RUNNING);
	}

	@Test
	void shouldNotAbortWhatIsUnknownOrDone() throws InvariantViolatedException {
		long attempt = begin(REQUEST, "d").attempt();
		this.driver.apply(new Command.MarkUnknown(REQUEST, attempt));
		assertThat(this.driver.refusal(new Command.AbortRequest(REQUEST, attempt))).isEqualTo(RefusalCode.STALE);
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
		this.driver.apply(new Command.FinishRequest(REQUEST, attempt, ANSWER));
		this.driver.apply(new Command.MarkUnknown(REQUEST, attempt));
		assertThat(begin()).isEqualTo(Status.DONE);
	}

	@Test
	void shouldRefuseAResendAfterExpiryAlsoWhenTheRetentionGrows() throws InvariantViolatedException {
		begin();
		this.driver.clockMillis += RETENTION_MILLIS + 1;
		this.driver.apply(new Command.ExpireLedger());
		assertThat(this.driver.state.ledgerSize()).isZero();
		assertThat(begin()).isEqualTo(Status.EXPIRED);
		RecordBody.Service longer = new RecordBody.Service(Fixtures.KEYED, Fixtures.keyed("", 1).keySource(), 4, 3, 110,
				2_000, 10_000, 360_000, 100, true, java.util.List.of());
		this.driver.apply(Fixtures.submit(longer, Fixtures.KEYED, 2, "longer"));
		this.driver.state.restore(this.driver.state.image());
		assertThat(begin()).isEqualTo(Status.EXPIRED);
	}

	@Test
	void shouldRefuseRequestsFromTheFuture() throws InvariantViolatedException {
		long ahead = StateDriver.START_MILLIS + 5 * 60_000;
		assertThat(begin(new RequestIdentity(Fixtures.KEYED, "k1", ahead + 1), "d").status())
			.isEqualTo(Status.NOT_YET_VALID);
		assertThat(begin(new RequestIdentity(Fixtures.KEYED, "k2", ahead), "d").status()).isEqualTo(Status.STARTED);
	}

	@Test
	void shouldRefuseAFormerGateEpochOrFenceOrPhase() throws InvariantViolatedException {
		TargetState target = this.driver.target("t1");
		long fence = this.driver.slice(0).fence();
		assertThat(beginAs("e2", target.gateEpoch(), fence)).isEqualTo(Status.STALE_GATE);
		assertThat(beginAs("e1", target.gateEpoch() - 1, fence)).isEqualTo(Status.STALE_GATE);
		assertThat(beginAs("e1", target.gateEpoch(), fence + 1)).isEqualTo(Status.STALE_GATE);
		this.driver.release(0);
		assertThat(beginAs("e1", target.gateEpoch(), fence)).isEqualTo(Status.STALE_GATE);
		this.driver.released(0);
		this.driver.own("t2", 0);
		assertThat(beginAs("e1", target.gateEpoch(), this.driver.slice(0).fence())).isEqualTo(Status.STALE_GATE);
	}

	private Status beginAs(String gate, long epoch, long fence) throws InvariantViolatedException {
		return ((Begun) this.driver
			.apply(new Command.BeginRequest(REQUEST, "d", "t1", gate, epoch, this.driver.slice(0).id(), fence, 2_000)))
			.status();
	}

	@Test
	void shouldKeepTheLedgerOverARestore() throws InvariantViolatedException {
		begin();
		ControlState restored = ControlStates.restored(this.driver.state.image());
		assertThat(restored.ledgerSize()).isEqualTo(1);
		assertThat(restored.image()).isEqualTo(this.driver.state.image());
	}

}

package org.redwingramp.core.control;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.CommandResult.Begun.Status;
import org.redwingramp.core.model.RecordBody;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against executing an at-most-once request twice.
 */
class LedgerTests {

	private static final RequestIdentity REQUEST = new RequestIdentity(Fixtures.KEYED, "visit-1",
			StateDriver.START_MILLIS);

	private static final StoredAnswer RESPONSE = StoredAnswer.of(200, "text/plain", new byte[] { 1, 2 });

	private static final long RETENTION_MILLIS = 3_600_000;

	private final StateDriver driver = new StateDriver();

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.driver.setUp(Fixtures.keyed(Fixtures.KEYED, 4), "t1", "t2");
		this.driver.assignSlices("t1", 0, 1, 2, 3);
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
	void shouldStartARequestOnceAndReturnItsResponseToARetryThroughAnotherGate() throws InvariantViolatedException {
		Begun begun = begin(REQUEST, "d");
		assertThat(begun.status()).isEqualTo(Status.STARTED);
		assertThat(begun.attempt()).isEqualTo(this.driver.index);
		assertThat(begin()).isEqualTo(Status.RUNNING);
		this.driver.apply(new Command.FinishRequest(REQUEST, begun.attempt(), RESPONSE));
		this.driver.assignGate("t1", "e2");
		Begun resent = begin(REQUEST, "d");
		assertThat(resent.status()).isEqualTo(Status.DONE);
		assertThat(resent.answer()).contains(RESPONSE);
		assertThat(begin(REQUEST, "other").status()).isEqualTo(Status.DIGEST_MISMATCH);
	}

	@Test
	void shouldReportARequestAsUnknownWhenTheGateIsLostBetweenBeginAndSend() throws InvariantViolatedException {
		long attempt = begin(REQUEST, "d").attempt();
		this.driver.apply(new Command.RemoveEntry("e1", "e1-boot-1"));
		this.driver.assignGate("t1", "e2");
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
		this.driver.apply(new Command.FinishRequest(REQUEST, attempt, RESPONSE));
		assertThat(begin()).isEqualTo(Status.DONE);
	}

	@Test
	void shouldReportARequestAsUnknownWhenTheTargetIsLostAndAnnouncedAgain() throws InvariantViolatedException {
		begin();
		this.driver.apply(new Command.TargetLost("t1", "t1-boot-1", this.driver.target("t1").gateEpoch()));
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1")));
		this.driver.assignGate("t1", "e1");
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
	}

	@Test
	void shouldReportARequestAsUnknownAfterItsTimeoutByAClockThatNeverFalls() throws InvariantViolatedException {
		begin();
		this.driver.clockMillis += 1_999;
		assertThat(begin()).isEqualTo(Status.RUNNING);
		this.driver.clockMillis += 1;
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
		this.driver.clockMillis -= 60_000;
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
	}

	@Test
	void shouldStartAgainAfterAnAbortAndRefuseReportsOfTheAbortedAttempt() throws InvariantViolatedException {
		long first = begin(REQUEST, "d").attempt();
		assertThat(this.driver.refusalOf(new Command.AbortRequest(REQUEST, first))).isNull();
		Begun second = begin(REQUEST, "d");
		assertThat(second.status()).isEqualTo(Status.STARTED);
		assertThat(this.driver.refusalOf(new Command.FinishRequest(REQUEST, first, RESPONSE)))
			.isEqualTo(RefusalCode.STALE);
		assertThat(this.driver.refusalOf(new Command.AbortRequest(REQUEST, first))).isEqualTo(RefusalCode.STALE);
		assertThat(this.driver.refusalOf(new Command.MarkUnknown(REQUEST, first))).isEqualTo(RefusalCode.STALE);
		assertThat(begin()).isEqualTo(Status.RUNNING);
	}

	@Test
	void shouldNotAbortARequestThatIsUnknownOrDone() throws InvariantViolatedException {
		long attempt = begin(REQUEST, "d").attempt();
		this.driver.apply(new Command.MarkUnknown(REQUEST, attempt));
		assertThat(this.driver.refusalOf(new Command.AbortRequest(REQUEST, attempt))).isEqualTo(RefusalCode.STALE);
		assertThat(begin()).isEqualTo(Status.UNKNOWN);
		this.driver.apply(new Command.FinishRequest(REQUEST, attempt, RESPONSE));
		this.driver.apply(new Command.MarkUnknown(REQUEST, attempt));
		assertThat(begin()).isEqualTo(Status.DONE);
	}

	@Test
	void shouldRefuseARetryAfterExpiryEvenIfTheRetentionIsExtended() throws InvariantViolatedException {
		begin();
		this.driver.clockMillis += RETENTION_MILLIS + 1;
		this.driver.apply(new Command.ExpireLedger());
		assertThat(this.driver.state.ledgerSize()).isZero();
		assertThat(begin()).isEqualTo(Status.EXPIRED);
		RecordBody.Service longer = new RecordBody.Service(Fixtures.KEYED, Fixtures.keyed("", 1).keySource(), 4, 3, 110,
				2_000, 10_000, 360_000, 100, true, java.util.List.of());
		this.driver.apply(Fixtures.submit(longer, Fixtures.KEYED, 2, "longer"));
		this.driver.state.restore(this.driver.state.snapshot());
		assertThat(begin()).isEqualTo(Status.EXPIRED);
	}

	@Test
	void shouldRefuseRequestsIssuedTooFarInTheFuture() throws InvariantViolatedException {
		long latestAccepted = StateDriver.START_MILLIS + 5 * 60_000;
		assertThat(begin(new RequestIdentity(Fixtures.KEYED, "k1", latestAccepted + 1), "d").status())
			.isEqualTo(Status.NOT_YET_VALID);
		assertThat(begin(new RequestIdentity(Fixtures.KEYED, "k2", latestAccepted), "d").status())
			.isEqualTo(Status.STARTED);
	}

	@Test
	void shouldRefuseAStaleGateEpochOrFenceOrPhase() throws InvariantViolatedException {
		TargetState target = this.driver.target("t1");
		long fence = this.driver.slice(0).fence();
		assertThat(beginFromGate("e2", target.gateEpoch(), fence)).isEqualTo(Status.STALE_GATE);
		assertThat(beginFromGate("e1", target.gateEpoch() - 1, fence)).isEqualTo(Status.STALE_GATE);
		assertThat(beginFromGate("e1", target.gateEpoch(), fence + 1)).isEqualTo(Status.STALE_GATE);
		this.driver.releaseSlice(0);
		assertThat(beginFromGate("e1", target.gateEpoch(), fence)).isEqualTo(Status.STALE_GATE);
		this.driver.confirmRelease(0);
		this.driver.assignSlices("t2", 0);
		assertThat(beginFromGate("e1", target.gateEpoch(), this.driver.slice(0).fence())).isEqualTo(Status.STALE_GATE);
	}

	private Status beginFromGate(String gate, long epoch, long fence) throws InvariantViolatedException {
		return ((Begun) this.driver
			.apply(new Command.BeginRequest(REQUEST, "d", "t1", gate, epoch, this.driver.slice(0).id(), fence, 2_000)))
			.status();
	}

	@Test
	void shouldKeepTheLedgerAcrossARestore() throws InvariantViolatedException {
		begin();
		ControlState restored = ControlStates.fromSnapshot(this.driver.state.snapshot());
		assertThat(restored.ledgerSize()).isEqualTo(1);
		assertThat(restored.snapshot()).isEqualTo(this.driver.state.snapshot());
	}

}

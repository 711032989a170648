package org.redwingramp.daemon.internal.gate;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.ShardId;

import static org.assertj.core.api.Assertions.assertThat;

class JettyTargetCallerTests {

	private static final String ID = "request-1";

	private static final long DEADLINE_MILLIS = 2_000;

	private final HttpClient client = new HttpClient();

	private final JettyTargetCaller caller = new JettyTargetCaller(this.client, System::nanoTime, 1_000);

	@BeforeEach
	void startClient() throws Exception {
		this.client.start();
	}

	@AfterEach
	void stopClient() throws Exception {
		this.client.stop();
	}

	@Test
	void shouldPassOnAWholeAnswer() throws Exception {
		try (RawTarget target = new RawTarget(answer("Content-Length: 2\r\n", "ok"), true)) {
			TargetAnswer answer = send(target, DEADLINE_MILLIS, () -> true);
			assertThat(answer).isInstanceOfSatisfying(TargetAnswer.Whole.class,
					(whole) -> assertThat(whole.body()).asString().isEqualTo("ok"));
		}
	}

	/** Guards against a truncated answer that passes for whole. */
	@Test
	void shouldLoseAnAnswerThatIsCutShort() throws Exception {
		try (RawTarget target = new RawTarget(answer("Content-Length: 10\r\n", "half"), false)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetAnswer.Lost.class);
		}
	}

	/** Guards against a truncated answer that can't be told from a whole one. */
	@Test
	void shouldLoseAnAnswerOfUnknownLength() throws Exception {
		try (RawTarget target = new RawTarget(answer("", "maybe all"), false)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetAnswer.Lost.class);
		}
	}

	/** Guards against the answer of another request. */
	@Test
	void shouldLoseAnAnswerToAnotherRequest() throws Exception {
		String crossed = answer("Content-Length: 2\r\nRedwingramp-Request-Id: request-2\r\n", "no");
		try (RawTarget target = new RawTarget(crossed, true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetAnswer.Lost.class);
		}
	}

	/** Guards against a second answer on a connection that reaches the next request. */
	@Test
	void shouldNotTakeASurplusAnswerForTheNextRequest() throws Exception {
		String first = answer("Content-Length: 2\r\nRedwingramp-Request-Id: request-1\r\n", "ok");
		String surplus = answer("Content-Length: 5\r\n", "stale");
		try (RawTarget target = new RawTarget(first + surplus, true)) {
			for (int i = 0; i < 3; i++) {
				TargetAnswer answer = send(target, DEADLINE_MILLIS, () -> true);
				if (answer instanceof TargetAnswer.Whole whole) {
					assertThat(whole.body()).asString().isEqualTo("ok");
				}
			}
		}
	}

	/** Guards against an answer above the limit that fills the memory. */
	@Test
	void shouldLoseAnAnswerAboveTheLimit() throws Exception {
		try (RawTarget target = new RawTarget(answer("Content-Length: 2000\r\n", "x".repeat(2_000)), true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetAnswer.Lost.class);
		}
	}

	/**
	 * Guards against a send after the leases ran out between the decision and the write.
	 */
	@Test
	void shouldWriteNothingWithoutPermission() throws Exception {
		try (RawTarget target = new RawTarget(answer("Content-Length: 2\r\n", "ok"), true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> false)).isInstanceOfSatisfying(TargetAnswer.NotSent.class,
					(notSent) -> assertThat(notSent.permitted()).isFalse());
			TimeUnit.MILLISECONDS.sleep(50);
			assertThat(target.requests()).isZero();
		}
	}

	@Test
	void shouldTellThatNothingWasSentToAClosedPort() throws Exception {
		RawTarget target = new RawTarget("", true);
		target.close();
		assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetAnswer.NotSent.class);
	}

	/** Guards against the reuse of a connection whose request timed out. */
	@Test
	void shouldUseANewConnectionAfterATimeout() throws Exception {
		try (RawTarget target = new RawTarget("", true)) {
			assertThat(send(target, 100, () -> true)).isInstanceOf(TargetAnswer.Lost.class);
			assertThat(send(target, 100, () -> true)).isInstanceOf(TargetAnswer.Lost.class);
			assertThat(target.connections()).isEqualTo(2);
		}
	}

	@Test
	void shouldBelieveATargetThatDidNotRunThisRequest() throws Exception {
		String refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRedwingramp-Outcome: not-run\r\n"
				+ "Redwingramp-Request-Id: request-1\r\n\r\n";
		try (RawTarget target = new RawTarget(refusal, true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetAnswer.RefusedByTarget.class);
		}
	}

	/** Guards against a "not run" that the target said about no particular request. */
	@Test
	void shouldNotBelieveARefusalWithoutTheRequestsIdentity() throws Exception {
		String refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRedwingramp-Outcome: not-run\r\n\r\n";
		try (RawTarget target = new RawTarget(refusal, true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetAnswer.Whole.class);
		}
	}

	private TargetAnswer send(RawTarget target, long deadlineMillis, BooleanSupplier mayWrite) throws Exception {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
		TargetCall call = new TargetCall("taller-01", target.address(), "GET", "/taller-svc/history/wok", List.of(),
				new byte[0], ID, ShardId.slice("taller-svc", 1), 7, 3, deadline, mayWrite);
		CompletableFuture<TargetAnswer> answer = this.caller.send(call);
		return answer.get(10, TimeUnit.SECONDS);
	}

	private static String answer(String headers, String body) {
		return "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body;
	}

}

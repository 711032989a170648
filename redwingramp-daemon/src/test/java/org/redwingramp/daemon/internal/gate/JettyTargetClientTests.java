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

class JettyTargetClientTests {

	private static final String ID = "request-1";

	private static final long DEADLINE_MILLIS = 2_000;

	private final HttpClient httpClient = new HttpClient();

	private final JettyTargetClient targetClient = new JettyTargetClient(this.httpClient, System::nanoTime, 1_000);

	@BeforeEach
	void startClient() throws Exception {
		this.httpClient.start();
	}

	@AfterEach
	void stopClient() throws Exception {
		this.httpClient.stop();
	}

	@Test
	void shouldReturnACompleteResponse() throws Exception {
		try (RawTarget target = new RawTarget(response("Content-Length: 2\r\n", "ok"), true)) {
			TargetCallResult result = send(target, DEADLINE_MILLIS, () -> true);
			assertThat(result).isInstanceOfSatisfying(TargetCallResult.Complete.class,
					(complete) -> assertThat(complete.body()).asString().isEqualTo("ok"));
		}
	}

	/** Guards against a truncated response that counts as complete. */
	@Test
	void shouldRejectATruncatedResponse() throws Exception {
		try (RawTarget target = new RawTarget(response("Content-Length: 10\r\n", "half"), false)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetCallResult.OutcomeUnknown.class);
		}
	}

	/** Guards against a response cut off in its head that counts as an empty one. */
	@Test
	void shouldRejectEachProperPrefixOfAResponse() throws Exception {
		String response = response("Content-Length: 2\r\n", "ok");
		for (int end = 0; end < response.length(); end++) {
			try (RawTarget target = new RawTarget(response.substring(0, end), false)) {
				assertThat(send(target, DEADLINE_MILLIS, () -> true)).as(response.substring(0, end))
					.isNotInstanceOf(TargetCallResult.Complete.class);
			}
		}
	}

	/**
	 * Guards against a truncated response that cannot be distinguished from a complete
	 * one.
	 */
	@Test
	void shouldRejectAResponseOfUnknownLength() throws Exception {
		try (RawTarget target = new RawTarget(response("", "maybe all"), false)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetCallResult.OutcomeUnknown.class);
		}
	}

	/** Guards against returning the response to another request. */
	@Test
	void shouldRejectAResponseToAnotherRequest() throws Exception {
		String mismatched = response("Content-Length: 2\r\nRedwingramp-Request-Id: request-2\r\n", "no");
		try (RawTarget target = new RawTarget(mismatched, true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetCallResult.OutcomeUnknown.class);
		}
	}

	/**
	 * Guards against returning a surplus response on a reused connection as the response
	 * to the next request.
	 */
	@Test
	void shouldNotReturnASurplusResponseForTheNextRequest() throws Exception {
		String first = response("Content-Length: 2\r\nRedwingramp-Request-Id: request-1\r\n", "ok");
		String surplus = response("Content-Length: 5\r\n", "stale");
		try (RawTarget target = new RawTarget(first + surplus, true)) {
			for (int i = 0; i < 3; i++) {
				TargetCallResult result = send(target, DEADLINE_MILLIS, () -> true);
				if (result instanceof TargetCallResult.Complete complete) {
					assertThat(complete.body()).asString().isEqualTo("ok");
				}
			}
		}
	}

	/** Guards against exhausting the memory with a response above the size limit. */
	@Test
	void shouldRejectAResponseAboveTheSizeLimit() throws Exception {
		try (RawTarget target = new RawTarget(response("Content-Length: 2000\r\n", "x".repeat(2_000)), true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetCallResult.OutcomeUnknown.class);
		}
	}

	/**
	 * Guards against writing a request after a lease expired between the routing decision
	 * and the write.
	 */
	@Test
	void shouldWriteNothingWithoutPermission() throws Exception {
		try (RawTarget target = new RawTarget(response("Content-Length: 2\r\n", "ok"), true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> false)).isInstanceOfSatisfying(
					TargetCallResult.NotSent.class, (notSent) -> assertThat(notSent.permitted()).isFalse());
			TimeUnit.MILLISECONDS.sleep(50);
			assertThat(target.requests()).isZero();
		}
	}

	@Test
	void shouldReportThatNothingWasSentToAClosedPort() throws Exception {
		RawTarget target = new RawTarget("", true);
		target.close();
		assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetCallResult.NotSent.class);
	}

	/** Guards against the reuse of a connection whose request timed out. */
	@Test
	void shouldUseANewConnectionAfterATimeout() throws Exception {
		try (RawTarget target = new RawTarget("", true)) {
			assertThat(send(target, 100, () -> true)).isInstanceOf(TargetCallResult.OutcomeUnknown.class);
			assertThat(send(target, 100, () -> true)).isInstanceOf(TargetCallResult.OutcomeUnknown.class);
			assertThat(target.connections()).isEqualTo(2);
		}
	}

	@Test
	void shouldAcceptARefusalThatIdentifiesTheRequest() throws Exception {
		String refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRedwingramp-Outcome: not-run\r\n"
				+ "Redwingramp-Request-Id: request-1\r\n\r\n";
		try (RawTarget target = new RawTarget(refusal, true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetCallResult.RefusedByTarget.class);
		}
	}

	/** Guards against a "not run" response that does not identify its request. */
	@Test
	void shouldNotAcceptARefusalWithoutTheRequestIdentity() throws Exception {
		String refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRedwingramp-Outcome: not-run\r\n\r\n";
		try (RawTarget target = new RawTarget(refusal, true)) {
			assertThat(send(target, DEADLINE_MILLIS, () -> true)).isInstanceOf(TargetCallResult.Complete.class);
		}
	}

	private TargetCallResult send(RawTarget target, long deadlineMillis, BooleanSupplier mayWrite) throws Exception {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
		TargetCall call = new TargetCall("taller-01", target.address(), "GET", "/taller-svc/history/wok", List.of(),
				new byte[0], ID, ShardId.slice("taller-svc", 1), 7, 3, deadline, mayWrite);
		CompletableFuture<TargetCallResult> result = this.targetClient.send(call);
		return result.get(10, TimeUnit.SECONDS);
	}

	private static String response(String headers, String body) {
		return "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body;
	}

}

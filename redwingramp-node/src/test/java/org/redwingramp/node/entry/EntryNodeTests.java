package org.redwingramp.node.entry;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.ownership.GrantOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that run twice, responses that are returned to the wrong
 * caller, refusals that claim a request was not run although it may have, and requests
 * that continue after their caller has disconnected.
 */
@Timeout(30)
class EntryNodeTests {

	private EntryFixture entry;

	@BeforeEach
	void start() throws Exception {
		this.entry = new EntryFixture();
	}

	@AfterEach
	void stop() throws Exception {
		this.entry.close();
	}

	@Test
	void shouldRefuseAsNotRunBeforeAConfigurationIsKnown() throws Exception {
		assertThat(this.entry.call("/lookup/a", "1")).startsWith("HTTP/1.1 503").contains("Retry-Millis: 250");
	}

	/**
	 * Guards against an unexpected exception that leaves a request without an answer. The
	 * dialect of the tests fails to read such a key.
	 */
	@Test
	void shouldRefuseARequestAtOnceThatFailsUnexpectedlyBeforeItIsSent() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget()) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/book/a", "1\r\nKey: none")).startsWith("HTTP/1.1 503")
				.contains("Retry-Millis: 250");
			assertThat(target.requests).isEmpty();
			this.entry.awaitLogged("unexpected-failure");
		}
	}

	/**
	 * Guards against a request that waits until its deadline after an unexpected
	 * exception, and against a promise that it wasn't run although it may have been. The
	 * dialect of the tests fails to read such a limit.
	 */
	@Test
	void shouldFailARequestAtOnceThatFailsUnexpectedlyAfterItIsSent() throws Exception {
		String unreadable = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nLimit: none\r\nContent-Length: 0\r\n\r\n";
		try (ScriptedTarget target = new ScriptedTarget(unreadable)) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/book-long/a", "1")).startsWith("HTTP/1.1 502");
			target.connectionEnded.await();
		}
	}

	/**
	 * Guards against bodies sent to the readiness address, which took memory beside that
	 * of callers' requests.
	 */
	@Test
	void shouldRefuseABodyAtTheReadinessAddress() throws Exception {
		try (Socket socket = new Socket("127.0.0.1", this.entry.readinessPort)) {
			socket.setSoTimeout(2000);
			socket.getOutputStream()
				.write("POST /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
					.getBytes(StandardCharsets.US_ASCII));
			assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
				.startsWith("HTTP/1.1 413");
		}
	}

	/**
	 * Guards against a stale grant: a leader that was suspended in the middle of a round
	 * of grants resumes, and an entry instance relays its grant to the target although
	 * the next leader has already assigned the keys to another target.
	 */
	@Test
	void shouldRefuseToRelayACallOfAnEarlierTerm() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.NO_RESPONSE)) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.relay(0, target)).isEqualTo(GrantOutcome.NOT_SENT);
			assertThat(target.requests).isEmpty();
		}
	}

	/**
	 * Guards against a grant that a partition held up on its way to the entry instance:
	 * when it arrives, the keys may be granted to another target with a higher fence.
	 */
	@Test
	void shouldRefuseToRelayACallThatArrivesTooLate() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.NO_RESPONSE)) {
			this.entry.sendView("t-0", target);
			long clockMillis = System.nanoTime() / 1_000_000;
			assertThat(this.entry.relay(1, Optional.of(clockMillis - 1), target)).isEqualTo(GrantOutcome.NOT_SENT);
			assertThat(target.requests).isEmpty();
			assertThat(this.entry.relay(1, Optional.of(clockMillis + 500), target)).isEqualTo(GrantOutcome.UNKNOWN);
			assertThat(target.requests).hasSize(1);
		}
	}

	/**
	 * Guards against a caller that books again, because it was told that its booking
	 * wasn't run, although the target doesn't say so.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 408, 429, 503 })
	void shouldNotPassOnAPromiseThatTheTargetDoesNotMake(int status) throws Exception {
		String response = "HTTP/1.1 " + status + " Status\r\nId: 1\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n";
		try (ScriptedTarget target = new ScriptedTarget(response)) {
			this.entry.sendView("t-0", target);
			assertThat(book("1")).startsWith("HTTP/1.1 502");
			assertThat(target.requests).hasSize(1);
		}
	}

	@Test
	void shouldReturnTheResponseOfTheOwner() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.response("1", "hello"))) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200").endsWith("hello");
			assertThat(target.requests.get(0)).contains("Target: t-0");
		}
	}

	/**
	 * Guards against a request that waits for a view after status 421, is sent again, and
	 * is sent a third time when the next view arrives while that attempt is in flight.
	 */
	@Test
	void shouldNotResendABookingInFlightWhenAViewArrives() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.misdirected(), ScriptedTarget.NO_RESPONSE,
				ScriptedTarget.response("1", "again"))) {
			this.entry.sendView("t-0", target);
			CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> bookUntilDeadline("1"));
			while (target.requests.size() < 2) {
				Thread.sleep(5);
			}
			this.entry.sendView("t-0", target);
			assertThat(response.get()).startsWith("HTTP/1.1 504");
			assertThat(target.requests).hasSize(2);
		}
	}

	@Test
	void shouldNotRetryABookingWhoseResponseWasLost() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.CLOSE, ScriptedTarget.response("1", "x"))) {
			this.entry.sendView("t-0", target);
			assertThat(book("1")).startsWith("HTTP/1.1 502");
			assertThat(target.requests).hasSize(1);
		}
	}

	@Test
	void shouldRetryALookupWhoseResponseWasLost() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.CLOSE, ScriptedTarget.response("1", "x"))) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
		}
	}

	@Test
	void shouldDropAResponseToAnotherRequest() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(
				ScriptedTarget.response("other", "wrong") + ScriptedTarget.response("1", "right"))) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/lookup-long/a", "1")).endsWith("right");
		}
	}

	// The late copy arrives where the response to the next request is expected.
	@Test
	void shouldNotReturnALateSecondCopyOfAResponseToTheNextCaller() throws Exception {
		String copy = ScriptedTarget.response("1", "first");
		try (ScriptedTarget target = new ScriptedTarget(copy, copy + ScriptedTarget.response("2", "second"),
				ScriptedTarget.response("2", "second"))) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/lookup-long/a", "1")).endsWith("first");
			assertThat(this.entry.call("/lookup-long/a", "2")).endsWith("second");
		}
	}

	@Test
	void shouldNotReturnASecondCopyThatIsSentAtOnceToTheNextCaller() throws Exception {
		String copy = ScriptedTarget.response("1", "first");
		try (ScriptedTarget target = new ScriptedTarget(copy + copy, ScriptedTarget.response("2", "second"),
				ScriptedTarget.response("2", "second"))) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/lookup-long/a", "1")).endsWith("first");
			assertThat(this.entry.call("/lookup-long/a", "2")).endsWith("second");
		}
	}

	@Test
	void shouldNotReturnATruncatedChunkedResponse() throws Exception {
		String truncated = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
		try (ScriptedTarget target = new ScriptedTarget(truncated, ScriptedTarget.CLOSE)) {
			this.entry.sendView("t-0", target);
			assertThat(bookUntilDeadline("1")).startsWith("HTTP/1.1 50");
		}
	}

	@Test
	void shouldNotReturnATruncatedResponse() throws Exception {
		String truncated = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: 50\r\nConnection: close\r\n\r\nhalf";
		try (ScriptedTarget target = new ScriptedTarget(truncated)) {
			this.entry.sendView("t-0", target);
			assertThat(bookUntilDeadline("1")).startsWith("HTTP/1.1 50");
		}
	}

	@Test
	void shouldNotReturnAnUnsignedSuccess() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")) {
			this.entry.sendView("t-0", target);
			assertThat(book("1")).startsWith("HTTP/1.1 502");
		}
	}

	@Test
	void shouldWaitWhileTheKeyIsBeingMoved() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.response("1", "moved"))) {
			this.entry.sendView("", target);
			CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> book("1"));
			this.entry.awaitLogged("request-waits");
			this.entry.sendView("t-0", target);
			assertThat(response.get()).startsWith("HTTP/1.1 200").endsWith("moved");
		}
	}

	@Test
	void shouldRefuseBeforeTheDeadlineWhenTheKeyIsBeingMovedForTooLong() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget()) {
			this.entry.sendView("", target);
			long start = System.nanoTime();
			assertThat(bookUntilDeadline("1")).startsWith("HTTP/1.1 503");
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(TestDialect.TIMEOUT_MILLIS);
		}
	}

	@Test
	void shouldCancelALookupWhenItsCallerDisconnects() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.NO_RESPONSE)) {
			this.entry.sendView("t-0", target);
			Socket caller = this.entry.open("/lookup/a", "1");
			while (target.requests.isEmpty()) {
				Thread.sleep(5);
			}
			caller.close();
			assertThat(target.connectionEnded.await(500, TimeUnit.MILLISECONDS)).isTrue();
		}
	}

	@Test
	void shouldRefuseWhenTheOwnerIsUnreachable() throws Exception {
		ScriptedTarget target = new ScriptedTarget();
		target.close();
		this.entry.sendView("t-0", target);
		assertThat(book("1")).startsWith("HTTP/1.1 503");
	}

	private String book(String id) {
		return call("/book-long/a", id);
	}

	// Sends a booking that is answered or refused at its deadline.
	private String bookUntilDeadline(String id) {
		return call("/book/a", id);
	}

	private String call(String path, String id) {
		try {
			return this.entry.call(path, id);
		}
		catch (java.io.IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}

package org.redwingramp.node.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: callers go on connecting to an entry instance that is being stopped.
 * Guards against requests that it takes and then cuts off.
 */
@Timeout(30)
class EntryStopTests {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final int CALLS_AFTER_STOP = 5;

	private static final long INTERVAL_MILLIS = 100;

	private static final long MAX_MILLIS_PER_SENT_REQUEST = 400;

	// The requests that reached the target.
	private final List<String> sent = new ArrayList<>();

	// Guards against a request that is taken shortly before the process stops: it ran
	// at a target, and its caller saw the connection close without an answer.
	@ParameterizedTest
	@ValueSource(longs = { 2000, 4000 })
	void shouldAnswerEachRequestThatItSendsToATargetWhileItStops(long graceMillis) throws Exception {
		List<String> answered = callWhileStopping("/book/a", graceMillis, ScriptedTarget.NO_RESPONSE);
		assertThat(this.sent).hasSizeGreaterThan((int) (graceMillis / MAX_MILLIS_PER_SENT_REQUEST));
		assertThat(answered.stream().filter((response) -> response.startsWith("HTTP/1.1 504")))
			.hasSameSizeAs(this.sent);
		assertThat(answered)
			.anyMatch((response) -> response.startsWith("HTTP/1.1 503") && response.contains("Retry-Millis: 20"));
	}

	// Guards against a booking that runs at a target until the process ends, where its
	// caller can't know whether it ran.
	@Test
	void shouldNotSendABookingWhoseDeadlineIsAfterTheStop() throws Exception {
		List<String> answered = callWhileStopping("/book-long/a", 2000, ScriptedTarget.NO_RESPONSE);
		assertThat(this.sent).isEmpty();
		assertThat(answered).hasSizeGreaterThan(5)
			.allMatch((response) -> response.startsWith("HTTP/1.1 503") && response.contains("Connection: close"));
	}

	// Guards against refusing lookups that are answered long before the stop.
	@Test
	void shouldServeALookupWithALateDeadlineWhileCallersStillConnect() throws Exception {
		try (EntryFixture entry = new EntryFixture(2 * NANOS_PER_SECOND);
				ScriptedTarget target = new ScriptedTarget(ScriptedTarget.response("1", "ok"))) {
			entry.sendView("t-0", target);
			entry.stop();
			assertThat(entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
		}
	}

	// Guards against a request that waits for the owner of its key until the process
	// ends, and then gets no answer.
	@ParameterizedTest
	@ValueSource(strings = { "/book-long/a", "/lookup-long/a" })
	void shouldRefuseARequestThatWaitsForAnOwnerWhenItCanNoLongerBeFinished(String path) throws Exception {
		try (EntryFixture entry = new EntryFixture(2 * NANOS_PER_SECOND);
				ScriptedTarget target = new ScriptedTarget()) {
			entry.sendView("", target);
			try (Socket caller = entry.open(path, "1")) {
				entry.awaitLogged("request-waits");
				entry.stop();
				assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
					.startsWith("HTTP/1.1 503")
					.contains("Connection: close");
			}
			assertThat(target.requests).isEmpty();
		}
	}

	// Guards against a stop that never ends, and cuts off all other requests, because of
	// one earlier request for which there was not enough memory.
	@Test
	void shouldRefuseRequestsAndStopAfterOneThatRanOutOfMemory() throws Exception {
		try (EntryFixture entry = new EntryFixture(2 * NANOS_PER_SECOND);
				ScriptedTarget target = new ScriptedTarget()) {
			entry.sendView("", target);
			try (Socket exhausting = entry.open("/lookup-long/a", TestDialect.EXHAUSTING_ID);
					Socket caller = entry.open("/lookup-long/a", "1")) {
				entry.awaitLogged("request-waits");
				entry.stop();
				assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
					.startsWith("HTTP/1.1 503")
					.contains("Connection: close");
			}
		}
	}

	// Guards against a caller that waits until its own timeout after a request for which
	// there was not enough memory.
	@Test
	void shouldAnswerARequestThatRunsOutOfMemory() throws Exception {
		try (EntryFixture entry = new EntryFixture(2 * NANOS_PER_SECOND);
				ScriptedTarget target = new ScriptedTarget()) {
			entry.sendView("t-0", target);
			assertThat(entry.call("/lookup/a", TestDialect.EXHAUSTING_ID)).startsWith("HTTP/1.1 503");
		}
	}

	// Guards against a connection that ends without an answer when a target doesn't
	// answer before the stop. The request may have run, so the answer doesn't deny it.
	@Test
	void shouldFailARequestThatRunsUntilTheStop() throws Exception {
		try (EntryFixture entry = new EntryFixture(2 * NANOS_PER_SECOND);
				ScriptedTarget target = new ScriptedTarget(ScriptedTarget.NO_RESPONSE)) {
			entry.sendView("t-0", target);
			try (Socket caller = entry.open("/book-long/a", "1")) {
				target.awaitRequest();
				entry.stop();
				assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
					.startsWith("HTTP/1.1 502")
					.contains("Connection: close");
			}
		}
	}

	// Guards against a request that is sent again late in the stop and then broken off.
	@Test
	void shouldNotSendARequestAgainThatCanNoLongerBeFinished() throws Exception {
		try (EntryFixture entry = new EntryFixture(4 * NANOS_PER_SECOND);
				ScriptedTarget target = new ScriptedTarget(ScriptedTarget.CLOSE_LATE,
						ScriptedTarget.response("1", "ok"))) {
			entry.sendView("t-0", target);
			try (Socket caller = entry.open("/lookup-long/a", "1")) {
				target.awaitRequest();
				entry.stop();
				assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
					.startsWith("HTTP/1.1 502");
			}
			assertThat(target.requests).hasSize(1);
		}
	}

	// Calls the same path at regular intervals while the process stops, and returns the
	// answers of those calls that got one. Another request is in flight all the while, so
	// that the process doesn't stop early when a busy machine delays the calls.
	private List<String> callWhileStopping(String path, long graceMillis, String step) throws Exception {
		int calls = (int) (graceMillis / INTERVAL_MILLIS + CALLS_AFTER_STOP);
		String[] script = Collections.nCopies(calls + 1, step).toArray(String[]::new);
		ExecutorService callers = Executors.newFixedThreadPool(calls);
		List<CompletableFuture<String>> responses = new ArrayList<>();
		try (EntryFixture entry = new EntryFixture(graceMillis * NANOS_PER_MILLI);
				ScriptedTarget target = new ScriptedTarget(script)) {
			entry.sendView("t-0", target);
			Socket inFlight = entry.open("/lookup-long/a", "in-flight");
			target.awaitRequest();
			entry.stop();
			for (int i = 0; i < calls; i++) {
				String id = Integer.toString(i);
				responses.add(CompletableFuture.supplyAsync(() -> call(entry, path, id), callers));
				Thread.sleep(INTERVAL_MILLIS);
			}
			List<String> answered = responses.stream()
				.map(CompletableFuture::join)
				.filter((response) -> !response.isEmpty())
				.toList();
			inFlight.close();
			this.sent.addAll(target.requests.subList(1, target.requests.size()));
			return answered;
		}
		finally {
			callers.shutdownNow();
		}
	}

	// Returns an empty text if the connection is refused or ends without a response.
	private static String call(EntryFixture entry, String path, String id) {
		try {
			return entry.call(path, id);
		}
		catch (IOException ex) {
			return "";
		}
	}

}

package org.redwingramp.node.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: callers go on connecting to an entry instance that is being stopped.
 * Guards against requests that it takes and then cuts off.
 */
@Timeout(30)
class EntryStopTests {

	private static final long GRACE_NANOS = 4_000_000_000L;

	private static final int CALLS = 45;

	private static final long INTERVAL_MILLIS = 100;

	// Guards against a request that is taken shortly before the process stops: it ran
	// at a target, and its caller saw the connection close without an answer.
	@Test
	void shouldAnswerEachRequestThatItSendsToATargetWhileItStops() throws Exception {
		String[] script = Collections.nCopies(CALLS, ScriptedTarget.NO_RESPONSE).toArray(String[]::new);
		ExecutorService callers = Executors.newFixedThreadPool(CALLS);
		List<CompletableFuture<String>> responses = new ArrayList<>();
		try (EntryFixture entry = new EntryFixture(GRACE_NANOS); ScriptedTarget target = new ScriptedTarget(script)) {
			entry.sendView("t-0", target);
			entry.stop();
			for (int i = 0; i < CALLS; i++) {
				String id = Integer.toString(i);
				responses.add(CompletableFuture.supplyAsync(() -> book(entry, id), callers));
				Thread.sleep(INTERVAL_MILLIS);
			}
			long answered = responses.stream()
				.map(CompletableFuture::join)
				.filter((response) -> response.startsWith("HTTP/1.1 504"))
				.count();
			assertThat(target.requests).hasSizeGreaterThan(10).hasSize((int) answered);
			assertThat(responses.stream().map(CompletableFuture::join))
				.anyMatch((response) -> response.startsWith("HTTP/1.1 503") && response.contains("Retry-Millis: 20"));
		}
		finally {
			callers.shutdownNow();
		}
	}

	// Returns an empty text if the connection is refused or ends without a response.
	private static String book(EntryFixture entry, String id) {
		try {
			return entry.call("/book/a", id);
		}
		catch (IOException ex) {
			return "";
		}
	}

}

package org.redwingramp.node.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that crashes one target after another, and against refusals of
 * innocent requests that were at a target when it crashed.
 */
@Timeout(60)
class CrashingRequestTests {

	/** Crashes until a request is certainly known to be the cause. */
	private static final int MAX_CRASHES = 3;

	private static final int REPETITIONS = 6;

	private EntryFixture entry;

	@BeforeEach
	void start() throws Exception {
		this.entry = new EntryFixture();
	}

	@AfterEach
	void stop() throws Exception {
		this.entry.close();
	}

	// Guards against an instance that keeps no memory of a request after it has ended.
	@Test
	void shouldStopSendingARequestThatCrashesTargets() throws Exception {
		try (CrashingTarget target = new CrashingTarget()) {
			for (int i = 0; i < REPETITIONS; i++) {
				target.restart();
				this.entry.sendView("t-0", target);
				awaitServed("/lookup-long/a");
				CompletableFuture<String> innocent = CompletableFuture
					.supplyAsync(() -> call("/lookup-long/a", "innocent"));
				Thread.sleep(20);
				assertThat(call("/lookup-long/deadly", "deadly-" + i)).startsWith("HTTP/1.1 50");
				innocent.join();
			}
			assertThat(target.crashes).hasSizeLessThanOrEqualTo(MAX_CRASHES);
			target.restart();
			awaitServed("/lookup-long/a");
		}
	}

	// Guards against a request that is refused since its connections broke, although the
	// target goes on running.
	@Test
	void shouldNotSuspectARequestWhoseConnectionsBreakWithoutACrash() throws Exception {
		String[] script = { ScriptedTarget.CLOSE, ScriptedTarget.CLOSE, ScriptedTarget.CLOSE,
				ScriptedTarget.response("3", "x") };
		try (ScriptedTarget target = new ScriptedTarget(script)) {
			this.entry.sendView("t-0", target);
			for (int i = 0; i < 3; i++) {
				assertThat(call("/book-long/a", Integer.toString(i))).startsWith("HTTP/1.1 502");
			}
			assertThat(this.entry.log.toString(StandardCharsets.UTF_8)).doesNotContain("target-crashed");
			assertThat(call("/book-long/a", "3")).startsWith("HTTP/1.1 200");
		}
	}

	// Waits until the target is no longer avoided after its crash.
	private void awaitServed(String path) throws InterruptedException {
		for (int i = 0; i < 50 && !call(path, "probe-" + i).startsWith("HTTP/1.1 200"); i++) {
			Thread.sleep(100);
		}
		assertThat(call(path, "served")).startsWith("HTTP/1.1 200");
	}

	private String call(String path, String id) {
		try {
			return this.entry.call(path, id);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}

package org.redwingramp.node.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a target that starts again, of which no leader hears, and that is sent
 * requests at the full rate by what was known of its former process.
 */
@Timeout(60)
class RestartedTargetTests {

	private static final int CALLS = 20;

	private static final long DOWN_MILLIS = 100;

	private final ExecutorService callers = Executors.newCachedThreadPool();

	private EntryFixture entry;

	@BeforeEach
	void start() throws Exception {
		this.entry = new EntryFixture();
	}

	@AfterEach
	void stop() {
		this.callers.shutdown();
		this.entry.close();
	}

	// Guards against the requests of the time in which only entry instances can see that
	// the target has started again. It says how long it is cold, or nothing at all.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nInstance: t-0\r\nCold-Millis: 9000\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nInstance: t-1\r\nContent-Length: 0\r\n\r\n", "" })
	void shouldLimitATargetThatStartsAgainWithoutALeaderThatHearsIt(String health) throws Exception {
		try (CrashingTarget target = new CrashingTarget()) {
			target.health = health;
			restart(target);
			int before = target.served.get();
			callAtOnce();
			assertThat(target.served.get() - before).as(this.entry.log.toString(StandardCharsets.UTF_8))
				.isLessThanOrEqualTo(2);
		}
	}

	// Guards against a target that was only cut off and is then spared as if it were
	// cold.
	@Test
	void shouldSendFreelyOnceTheTargetSaysThatItIsWarm() throws Exception {
		try (CrashingTarget target = new CrashingTarget()) {
			target.health = "HTTP/1.1 200 OK\r\nInstance: t-0\r\nContent-Length: 0\r\n\r\n";
			restart(target);
			awaitAnswer();
			for (int i = 0; i < CALLS; i++) {
				assertThat(call("w-" + i)).startsWith("HTTP/1.1 200");
			}
		}
	}

	// Guards against a target that is taken for one that has started again since it resets
	// connections when it is full.
	@Test
	void shouldNotTakeBrokenConnectionsForARestart() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.CLOSE, ScriptedTarget.CLOSE)) {
			this.entry.sendPlainView(target);
			call("1");
			call("2");
			Thread.sleep(300);
			assertThat(this.entry.log.toString(StandardCharsets.UTF_8)).doesNotContain("SUSPECTED");
		}
	}

	// Ends the process of a warm target and starts it again while its leader is silent.
	private void restart(CrashingTarget target) throws Exception {
		this.entry.sendPlainView(target);
		assertThat(call("warm")).startsWith("HTTP/1.1 200");
		target.crash();
		Thread.sleep(DOWN_MILLIS);
		call("refused");
		target.restart();
	}

	// Waits until the target has said that it is warm.
	private void awaitAnswer() throws Exception {
		for (int i = 0; i < 40 && !this.entry.log.toString(StandardCharsets.UTF_8).contains("NAMED"); i++) {
			call("a-" + i);
			Thread.sleep(100);
		}
	}

	private List<String> callAtOnce() {
		List<CompletableFuture<String>> responses = IntStream.range(0, CALLS)
			.mapToObj((i) -> CompletableFuture.supplyAsync(() -> call("c-" + i), this.callers))
			.toList();
		return responses.stream().map(CompletableFuture::join).toList();
	}

	private String call(String id) {
		try {
			return this.entry.call("/plain/a", id);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}

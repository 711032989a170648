package org.redwingramp.node.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.core.observation.Observation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a target that gets more requests than the rate limit that it states in
 * its responses allows.
 */
@Timeout(30)
class TargetRateLimitTests {

	private static final double LIMIT_PER_SECOND = 2;

	private static final double FAST_PER_SECOND = 200;

	/** Requests within four seconds that break the platform's rule if exceeded. */
	private static final int ALLOWED = (int) (1.5 * 4 * LIMIT_PER_SECOND) + 5;

	private static final int CALLS = 40;

	private static final String LIMITED = "HTTP/1.1 200 OK\r\nSigned: 1\r\nLimit: " + LIMIT_PER_SECOND
			+ "\r\nContent-Length: 1\r\n\r\nx";

	private final ExecutorService callers = Executors.newFixedThreadPool(CALLS);

	private EntryFixture entry;

	@BeforeEach
	void start() throws Exception {
		this.entry = new EntryFixture();
	}

	@AfterEach
	void stop() throws Exception {
		this.callers.shutdownNow();
		this.entry.close();
	}

	// Guards against a limit that nothing reads: all requests went to the target.
	@Test
	void shouldNotExceedTheRateLimitOfTheOwnerOfAKey() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(Collections.nCopies(CALLS, LIMITED).toArray(String[]::new))) {
			this.entry.sendView("t-0", target);
			List<String> responses = callAtIntervals(50);
			assertThat(target.requests).hasSizeLessThanOrEqualTo(ALLOWED);
			assertThat(responses).allMatch((response) -> response.matches("(?s)HTTP/1.1 (200|503) .*"));
		}
	}

	// Guards against requests that wait for a permit although another target has room.
	@Test
	void shouldSendToAnotherTargetIfTheServiceIsNotSharded() throws Exception {
		String[] free = Collections.nCopies(CALLS, ScriptedTarget.response("", "x").replace("Id: \r\n", ""))
			.toArray(String[]::new);
		try (ScriptedTarget limited = new ScriptedTarget(Collections.nCopies(CALLS, LIMITED).toArray(String[]::new));
				ScriptedTarget other = new ScriptedTarget(free)) {
			this.entry.grantsPermits = Optional.of(false);
			this.entry.sendPlainView(limited, other);
			for (int i = 0; i < CALLS; i++) {
				assertThat(this.entry.call("/plain-long/a", Integer.toString(i))).startsWith("HTTP/1.1 200");
			}
			assertThat(limited.requests).hasSizeLessThanOrEqualTo(1);
		}
	}

	// Guards against a caller that is told to come back before a permit can be due, and
	// against questions to the leader for permits that it has just refused.
	@Test
	void shouldRefuseAtOnceWithTheTimeOfTheNextPermit() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(LIMITED)) {
			this.entry.grantsPermits = Optional.of(false);
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
			assertThat(this.entry.call("/lookup-long/a", "2")).startsWith("HTTP/1.1 503")
				.contains("Retry-Millis: " + EntryFixture.REFUSED_DELAY_MILLIS);
			assertThat(target.requests).hasSize(1);
		}
	}

	// Guards against a leader that learns nothing of a limit: neither the one that is
	// told at once, nor the next one, which begins with a full view.
	@Test
	void shouldReportTheLimitAtOnceAndAgainToTheNextLeader() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(LIMITED)) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
			Observation first = this.entry.observations.poll(200, TimeUnit.MILLISECONDS);
			assertThat(first).extracting(Observation::subject, Observation::value)
				.containsExactly("t-0", LIMIT_PER_SECOND);
			this.entry.sendView("t-0", target);
			Observation again = this.entry.observations.poll(1000, TimeUnit.MILLISECONDS);
			assertThat(again).extracting(Observation::subject, Observation::value)
				.containsExactly("t-0", LIMIT_PER_SECOND);
		}
	}

	// Guards against a limit of a former process under the same name that holds the
	// present one, since its response came late.
	@Test
	void shouldNotUseALimitThatAFormerIncarnationStatesLate() throws Exception {
		try (ServerSocket former = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				ScriptedTarget present = new ScriptedTarget(LIMITED)) {
			this.entry.sendView("t-0", "127.0.0.1:" + former.getLocalPort());
			Future<String> response = this.callers.submit(() -> this.entry.call("/lookup-long/a", "1"));
			try (Socket socket = former.accept()) {
				ScriptedTarget.readHead(socket.getInputStream());
				this.entry.born = 2;
				this.entry.sendView("t-0", present);
				socket.getOutputStream().write(LIMITED.getBytes(StandardCharsets.US_ASCII));
				assertThat(response.get()).startsWith("HTTP/1.1 200");
			}
			assertThat(this.entry.observations.poll(600, TimeUnit.MILLISECONDS)).isNull();
		}
	}

	// Guards against a target that is held to a limit that it no longer states.
	@Test
	void shouldSendFreelyOnceTheTargetStatesNoLimit() throws Exception {
		String free = ScriptedTarget.response("", "x").replace("Id: \r\n", "");
		List<String> script = new ArrayList<>(Collections.nCopies(CALLS, free));
		script.add(0, LIMITED);
		try (ScriptedTarget target = new ScriptedTarget(script.toArray(String[]::new))) {
			this.entry.grantsPermits = Optional.of(true);
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
			assertThat(this.entry.call("/lookup-long/a", "2")).startsWith("HTTP/1.1 200");
			this.entry.grantsPermits = Optional.of(false);
			assertThat(this.entry.call("/lookup-long/a", "3")).startsWith("HTTP/1.1 200");
		}
	}

	// Guards against a rate that is divided by the number of instances: of 20 requests a
	// second, each of 88 instances could send one in 4.4 s.
	@Test
	void shouldUseTheRateOfAColdTargetHoweverManyInstancesShareIt() throws Exception {
		String[] answers = Collections.nCopies(CALLS, ScriptedTarget.response("", "x").replace("Id: \r\n", ""))
			.toArray(String[]::new);
		try (ScriptedTarget target = new ScriptedTarget(answers)) {
			this.entry.grantsPermits = Optional.of(true);
			this.entry.instances = 88;
			this.entry.coldLeftMillis = 60_000;
			this.entry.sendView("t-0", target);
			assertThat(callAtIntervals(50)).allMatch((response) -> response.startsWith("HTTP/1.1 200"));
		}
	}

	// Guards against a cold target that gets the requests of all instances when no leader
	// shares its rate.
	@Test
	void shouldKeepToAShareOfTheRateOfAColdTargetWithoutALeader() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.response("1", "x"))) {
			this.entry.instances = 88;
			this.entry.coldLeftMillis = 60_000;
			this.entry.sendView("t-0", target);
			assertThat(callAtIntervals(20)).filteredOn((response) -> response.startsWith("HTTP/1.1 503"))
				.hasSizeGreaterThanOrEqualTo(CALLS - 1);
		}
	}

	// Guards against permits for a later time that are all used at a target that has
	// become cold meanwhile.
	@Test
	void shouldAskAgainIfTheTargetBecomesColdBeforeThePermitIsUsable() throws Exception {
		String fast = LIMITED.replace("Limit: " + LIMIT_PER_SECOND, "Limit: " + FAST_PER_SECOND);
		try (ScriptedTarget target = new ScriptedTarget(fast, fast)) {
			this.entry.grantsPermits = Optional.of(true);
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
			this.entry.permitDelayMillis = 150;
			Future<String> response = this.callers.submit(() -> this.entry.call("/lookup-long/a", "1"));
			assertThat(this.entry.permitRates.poll(3, TimeUnit.SECONDS)).isEqualTo(FAST_PER_SECOND);
			this.entry.grantsPermits = Optional.of(false);
			this.entry.coldLeftMillis = 60_000;
			this.entry.sendView("t-0", target);
			assertThat(response.get()).startsWith("HTTP/1.1 503");
			assertThat(this.entry.permitRates).containsExactly(TestDialect.COLD_PER_SECOND);
			assertThat(target.requests).hasSize(1);
		}
	}

	private List<String> callAtIntervals(long millis) throws Exception {
		List<CompletableFuture<String>> responses = IntStream.range(0, CALLS)
			.mapToObj((i) -> CompletableFuture.supplyAsync(() -> lookUp(i, i * millis), this.callers))
			.toList();
		return responses.stream().map(CompletableFuture::join).toList();
	}

	private String lookUp(int id, long delayMillis) {
		try {
			Thread.sleep(delayMillis);
			return this.entry.call("/lookup-long/a", Integer.toString(id));
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}

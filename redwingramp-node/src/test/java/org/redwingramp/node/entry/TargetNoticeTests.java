package org.redwingramp.node.entry;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.core.ownership.Owner;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to a target that stated in a response that it leaves, or that
 * it wants no requests for some time.
 */
@Timeout(30)
class TargetNoticeTests {

	private static final int PAUSE_MILLIS = 700;

	private static final long DRAIN_MILLIS = TimeUnit.NANOSECONDS.toMillis(EntryFixture.DRAIN_NANOS);

	private static final String PAUSE = "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nPause-Millis: " + PAUSE_MILLIS
			+ "\r\nContent-Length: 0\r\n\r\n";

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
	void shouldRefuseRequestsForTheKeysOfAPausedOwnerWithWhatIsLeft() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(PAUSE, ScriptedTarget.response("3", "again"))) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/book/a", "1")).startsWith("HTTP/1.1 503");
			String refusal = this.entry.call("/book/a", "2");
			assertThat(refusal).startsWith("HTTP/1.1 503");
			assertThat(retryMillis(refusal)).isBetween(1L, (long) PAUSE_MILLIS);
			assertThat(target.requests).hasSize(1);
			Thread.sleep(PAUSE_MILLIS);
			assertThat(this.entry.call("/book/a", "3")).endsWith("again");
		}
	}

	@Test
	void shouldSendRequestsToAnotherTargetDuringAPause() throws Exception {
		String served = ScriptedTarget.response("1", "a");
		try (ScriptedTarget paused = new ScriptedTarget(PAUSE, PAUSE);
				ScriptedTarget other = new ScriptedTarget(served, ScriptedTarget.response("2", "b"),
						ScriptedTarget.response("3", "c"))) {
			this.entry.sendPlainView(paused);
			assertThat(this.entry.call("/plain/a", "1")).startsWith("HTTP/1.1 503");
			this.entry.sendPlainView(paused, other);
			assertThat(this.entry.call("/plain/a", "1")).endsWith("a");
			assertThat(this.entry.call("/plain/a", "2")).endsWith("b");
			assertThat(this.entry.call("/plain/a", "3")).endsWith("c");
			assertThat(paused.requests).hasSize(1);
		}
	}

	@Test
	void shouldSendNothingToATargetThatLeavesAfterTheDrainTime() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(leaving("1"), leaving("2"), leaving("3"))) {
			this.entry.sendPlainView(target);
			assertThat(this.entry.call("/plain/a", "1")).startsWith("HTTP/1.1 200");
			assertThat(this.entry.call("/plain/a", "2")).startsWith("HTTP/1.1 200");
			Thread.sleep(DRAIN_MILLIS);
			assertThat(this.entry.call("/plain/a", "3")).startsWith("HTTP/1.1 503");
			assertThat(target.requests).hasSize(2);
		}
	}

	@Test
	void shouldPreferTargetsThatDoNotLeave() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(leaving("1"));
				ScriptedTarget other = new ScriptedTarget(ScriptedTarget.response("2", "b"),
						ScriptedTarget.response("3", "c"), ScriptedTarget.response("4", "d"))) {
			this.entry.sendPlainView(target);
			assertThat(this.entry.call("/plain/a", "1")).startsWith("HTTP/1.1 200");
			this.entry.sendPlainView(target, other);
			assertThat(this.entry.call("/plain/a", "2")).endsWith("b");
			assertThat(this.entry.call("/plain/a", "3")).endsWith("c");
			assertThat(this.entry.call("/plain/a", "4")).endsWith("d");
		}
	}

	/** Guards against a restarted target that isn't used since the former one left. */
	@Test
	void shouldReportAnOwnerThatLeavesAndServeThroughItsNextIncarnation() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(leaving("1"), ScriptedTarget.response("3", "new"))) {
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/book/a", "1")).startsWith("HTTP/1.1 200");
			assertThat(this.entry.leaving.poll(5, TimeUnit.SECONDS)).isEqualTo(new Owner("t-0", 1));
			Thread.sleep(DRAIN_MILLIS);
			assertThat(this.entry.call("/book/a", "2")).startsWith("HTTP/1.1 503");
			this.entry.born = 2;
			this.entry.sendView("t-0", target);
			assertThat(this.entry.call("/book/a", "3")).endsWith("new");
			assertThat(target.requests).hasSize(2);
		}
	}

	private static String leaving(String id) {
		return ScriptedTarget.response(id, "x").replace("Signed: 1", "Signed: 1\r\nLeaving: 1");
	}

	private static long retryMillis(String response) {
		return Long.parseLong(response.replaceAll("(?s).*Retry-Millis: (\\d+).*", "$1"));
	}

}

package org.redwingramp.node.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.fleet.LagReason;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an entry instance that gets views of its leader, can't apply them or a
 * part of them, and goes on serving requests as if it did.
 */
@Timeout(60)
class UnusableViewTests {

	private static final String OK = ScriptedTarget.response("1", "x");

	/** Time within which the platform requires an acknowledged change to be in force. */
	private static final long MAX_APPLY_DELAY_MILLIS = 2000;

	private static final ViewRange REVERSED_RANGE = new ViewRange(300, 200, "t-0");

	private EntryFixture entry;

	@BeforeEach
	void start() throws Exception {
		this.entry = new EntryFixture();
	}

	@AfterEach
	void stop() throws Exception {
		this.entry.close();
	}

	/**
	 * Guards against requests that reach a draining target after a view with an element
	 * that can't be used, in a difference and in a full view.
	 */
	@Test
	void shouldFollowConfigurationsAndDrainsAfterAnUnusableElement() throws Exception {
		try (ScriptedTarget leaving = new ScriptedTarget(); ScriptedTarget other = new ScriptedTarget(OK, OK)) {
			ViewTarget odd = target("odd", "127.0.0.1:99999", true);
			this.entry.send(view(1, 0, 1, new byte[] { 1 }, List.of(odd, target("t-0", leaving.address(), true)),
					new ViewRange(0, 65_535, "t-0")));
			this.entry.send(view(2, 1, 2, new byte[] { 2 },
					List.of(odd, target("t-0", leaving.address(), false), target("t-1", other.address(), true)),
					new ViewRange(0, 65_535, "t-1")));
			this.entry.awaitApplied(1, 2);
			assertThat(this.entry.lastReport.configVersion()).contains(2L);
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
			this.entry.send(view(3, 0, 3, new byte[] { 3 },
					List.of(odd, target("t-0", leaving.address(), false), target("t-1", other.address(), true)),
					new ViewRange(0, 65_535, "t-1")));
			this.entry.awaitApplied(1, 3);
			assertThat(this.entry.lastReport.configVersion()).contains(3L);
			assertThat(this.entry.lastReport.lag()).isEmpty();
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
			assertThat(leaving.requests).isEmpty();
			assertThat(this.entry.readiness()).startsWith("HTTP/1.1 200");
		}
	}

	/**
	 * Guards against requests that are handled by a configuration which this instance
	 * can't follow, although other instances apply the one in force.
	 */
	@Test
	void shouldSendCallersElsewhereWhileOthersApplyAConfigurationThatItCanNotRead() throws Exception {
		try (ScriptedTarget first = new ScriptedTarget(OK, OK); ScriptedTarget second = new ScriptedTarget(OK)) {
			this.entry.followed = Optional.of(true);
			this.entry.send(view(1, 0, 1, new byte[] { 1 }, List.of(target("t-0", first.address(), true)),
					new ViewRange(0, 65_535, "t-0")));
			this.entry.awaitApplied(1, 1);
			assertThat(this.entry.callKept("/lookup-long/a", "1")).startsWith("HTTP/1.1 200")
				.doesNotContain("Connection: close");
			this.entry.send(view(2, 1, 2, TestDialect.UNREADABLE_DOCUMENT,
					List.of(target("t-0", first.address(), false), target("t-1", second.address(), true)),
					new ViewRange(0, 65_535, "t-1")));
			this.entry.awaitApplied(1, 2);
			assertThat(this.entry.lastReport.lag()).contains(LagReason.CONFIG_UNREADABLE.name());
			assertThat(this.entry.lastReport.configVersion()).contains(1L);
			assertThat(this.entry.readiness()).startsWith("HTTP/1.1 503");
			assertThat(this.entry.callKept("/lookup-long/a", "1")).contains("Connection: close");
			Thread.sleep(MAX_APPLY_DELAY_MILLIS);
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 503").contains("Retry-Millis: 20");
			assertThat(this.entry.call("/none/a", "1")).startsWith("HTTP/1.1 503");
			assertThat(first.requests).hasSize(1);
			assertThat(second.requests).hasSize(1);
			assertThat(this.entry.log.toString(StandardCharsets.UTF_8)).contains("RWR-7211").contains("RWR-7214");
			this.entry.send(view(3, 2, 3, new byte[] { 3 }, List.of(), REVERSED_RANGE));
			this.entry.awaitApplied(1, 3);
			assertThat(this.entry.lastReport.lag()).isEmpty();
			assertThat(this.entry.readiness()).startsWith("HTTP/1.1 200");
			assertThat(this.entry.call("/lookup-long/a", "1")).doesNotStartWith("HTTP/1.1 503");
		}
	}

	/**
	 * Guards against an outage of the whole fleet that no fault requires: a configuration
	 * that no instance can read isn't acknowledged, so the last one is served.
	 */
	@Test
	void shouldServeTheLastConfigurationWhileNoInstanceCanReadTheNewOne() throws Exception {
		try (ScriptedTarget first = new ScriptedTarget(OK); ScriptedTarget second = new ScriptedTarget(OK)) {
			this.entry.followed = Optional.of(false);
			this.entry.send(view(1, 0, 1, new byte[] { 1 }, List.of(target("t-0", first.address(), true)),
					new ViewRange(0, 65_535, "t-0")));
			this.entry.send(view(2, 1, 2, TestDialect.UNREADABLE_DOCUMENT,
					List.of(target("t-0", first.address(), false), target("t-1", second.address(), true)),
					new ViewRange(0, 65_535, "t-1")));
			this.entry.awaitApplied(1, 2);
			Thread.sleep(MAX_APPLY_DELAY_MILLIS);
			assertThat(this.entry.readiness()).startsWith("HTTP/1.1 200");
			assertThat(this.entry.callKept("/lookup-long/a", "1")).startsWith("HTTP/1.1 200")
				.doesNotContain("Connection: close");
			assertThat(first.requests).isEmpty();
			this.entry.followed = Optional.of(true);
			Thread.sleep(MAX_APPLY_DELAY_MILLIS / 2);
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 503");
		}
	}

	/**
	 * Guards against an instance that hears the leader, can't apply its views and serves
	 * by the last one without end.
	 */
	@Test
	void shouldSendCallersElsewhereUntilAViewCanBeApplied() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(OK, OK)) {
			this.entry.followed = Optional.of(true);
			List<ViewTarget> targets = List.of(target("t-0", target.address(), true));
			this.entry.send(view(1, 0, 1, new byte[] { 1 }, targets, new ViewRange(0, 65_535, "t-0")));
			this.entry.awaitApplied(1, 1);
			this.entry.send(view(4, 3, 1, new byte[] { 1 }, targets, new ViewRange(0, 65_535, "t-0")));
			Thread.sleep(MAX_APPLY_DELAY_MILLIS);
			assertThat(this.entry.readiness()).startsWith("HTTP/1.1 503");
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 503").contains("Retry-Millis: 20");
			assertThat(this.entry.lastReport.lag()).contains(LagReason.VIEW_MISSING.name());
			this.entry.send(view(5, 0, 1, new byte[] { 1 }, targets, new ViewRange(0, 65_535, "t-0")));
			this.entry.awaitApplied(1, 5);
			assertThat(this.entry.readiness()).startsWith("HTTP/1.1 200");
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
		}
	}

	/**
	 * Guards against an instance that refuses requests in quiet times, because a leader
	 * whose view it has is heard again and has nothing new to send.
	 */
	@Test
	void shouldServeWhileALeaderThatIsHeardAgainHasNothingToSend() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(OK)) {
			this.entry.followed = Optional.of(true);
			this.entry.send(view(1, 0, 1, new byte[] { 1 }, List.of(target("t-0", target.address(), true)),
					new ViewRange(0, 65_535, "t-0")));
			this.entry.awaitApplied(1, 1);
			this.entry.sendLeading(false);
			this.entry.sendLeading(true);
			Thread.sleep(MAX_APPLY_DELAY_MILLIS);
			assertThat(this.entry.readiness()).startsWith("HTTP/1.1 200");
			assertThat(this.entry.call("/lookup-long/a", "1")).startsWith("HTTP/1.1 200");
		}
	}

	/**
	 * Guards against a request that fails when it is resumed after a view, and keeps the
	 * others that wait for an owner from being resumed.
	 */
	@Test
	void shouldResumeTheOtherRequestsAfterOneThatFails() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(OK)) {
			List<ViewTarget> targets = List.of(target("t-0", target.address(), true));
			this.entry.send(view(1, 0, 1, new byte[] { 1 }, targets, new ViewRange(0, 65_535, "")));
			this.entry.awaitApplied(1, 1);
			CompletableFuture<String> failing = CompletableFuture.supplyAsync(() -> call(TestDialect.UNUSABLE_ID));
			awaitLogged(TestDialect.UNUSABLE_ID);
			CompletableFuture<String> waiting = CompletableFuture.supplyAsync(() -> call("1"));
			awaitLogged("\"request\":\"1\"");
			this.entry.send(view(2, 1, 2, new byte[] { 2 }, targets, new ViewRange(0, 65_535, "t-0")));
			assertThat(waiting.get()).startsWith("HTTP/1.1 200");
			assertThat(failing.get()).startsWith("HTTP/1.1 503");
		}
	}

	private String call(String id) {
		try {
			return this.entry.call("/lookup-long/a", id);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void awaitLogged(String text) throws InterruptedException {
		while (!this.entry.log.toString(StandardCharsets.UTF_8).contains(text)) {
			Thread.sleep(5);
		}
	}

	private static FleetView view(long sequence, long base, long config, byte[] document, List<ViewTarget> targets,
			ViewRange range) {
		return new FleetView(1, sequence, base, config, 1, Optional.of(document), targets, List.of(),
				Map.of("s", List.of(REVERSED_RANGE, range)), List.of());
	}

	private static ViewTarget target(String name, String address, boolean usable) {
		return new ViewTarget(name, "s", address, "d", 3, usable, 0, 1, false);
	}

}

package org.redwingramp.node.control;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.LagReason;
import org.redwingramp.node.link.LinkMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a leader that doesn't notice or doesn't tell that entry instances don't
 * apply what it sends.
 */
@Timeout(60)
class LaggingEntryTests {

	private static final String LEADER = "127.0.0.11";

	private static final String LAG = LagReason.CONFIG_UNREADABLE.name();

	@TempDir
	private Path folder;

	/**
	 * Guards against a configuration that is acknowledged although it isn't in force at
	 * any entry instance, and against one instance that keeps all changes from being
	 * acknowledged.
	 */
	@Test
	void shouldAcknowledgeAConfigurationUnlessNoEntryInstanceCanReadIt() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, LEADER);
				TestPeer unable = new TestPeer(control.peerAddress(LEADER))) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			unable.reportRegularly("unable", Optional.of(LAG));
			awaitFollowed(unable, false);
			assertThat(control.callOnce(LEADER, "replace 5 6 two")).startsWith("UNAVAILABLE version 6 is recorded");
			assertThat(control.callOnce(LEADER, "replace 5 6 two")).startsWith("UNAVAILABLE version 6 is recorded");
			try (TestPeer able = new TestPeer(control.peerAddress(LEADER))) {
				able.reportRegularly("able", Optional.empty());
				awaitFollowed(able, true);
				assertThat(control.callOnce(LEADER, "replace 5 6 two")).startsWith("ACCEPTED");
				assertThat(control.callOnce(LEADER, "replace 6 7 three")).startsWith("ACCEPTED");
			}
		}
	}

	/**
	 * Guards against a valid replacement of an unreadable configuration that is refused
	 * since the entry instances haven't received it yet.
	 */
	@Test
	void shouldAcknowledgeAReplacementThatEntryInstancesHaveNotReportedOn() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, LEADER);
				TestPeer slow = new TestPeer(control.peerAddress(LEADER))) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			report(slow, "slow", Optional.of(LAG));
			awaitFollowed(slow, false);
			assertThat(control.callOnce(LEADER, "replace 5 6 two")).startsWith("ACCEPTED");
			assertThat(control.callOnce(LEADER, "replace 5 6 two")).startsWith("ACCEPTED");
		}
	}

	/**
	 * Guards against a repeated call whose version was replaced since, and that is
	 * refused since the configuration in force can't be read.
	 */
	@Test
	void shouldAcknowledgeARepeatedCallOfAnEarlierVersion() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, LEADER);
				TestPeer unable = new TestPeer(control.peerAddress(LEADER))) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			unable.reportRegularly("unable", Optional.of(LAG));
			awaitFollowed(unable, false);
			assertThat(control.callOnce(LEADER, "replace 5 6 two")).startsWith("UNAVAILABLE version 6 is recorded");
			assertThat(control.callOnce(LEADER, "replace 0 5 one")).startsWith("ACCEPTED");
		}
	}

	/**
	 * Guards against all entry instances that refuse requests because each of them
	 * assumes that another one follows.
	 */
	@Test
	void shouldTellEntryInstancesWhetherAnyOfThemFollows() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, LEADER);
				TestPeer unable = new TestPeer(control.peerAddress(LEADER))) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			report(unable, "unable", Optional.of(LAG));
			awaitFollowed(unable, false);
			try (TestPeer able = new TestPeer(control.peerAddress(LEADER))) {
				report(able, "able", Optional.empty());
				awaitFollowed(able, true);
				awaitFollowed(unable, true);
			}
		}
	}

	/**
	 * Guards against an entry instance that acknowledges all views, doesn't apply the
	 * configuration, and is visible nowhere.
	 */
	@Test
	void shouldLogAnEntryInstanceThatDoesNotFollowAndItsReturn() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, LEADER);
				TestPeer entry = new TestPeer(control.peerAddress(LEADER))) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			for (int i = 0; i < 200 && !logged(control, "\"behind\":true"); i++) {
				report(entry, "e", Optional.of(LAG));
				Thread.sleep(20);
			}
			assertThat(logged(control, "\"entry\":\"e\",\"behind\":true,\"reason\":\"" + LAG)).isTrue();
			for (int i = 0; i < 200 && !logged(control, "\"behind\":false"); i++) {
				report(entry, "e", Optional.empty());
				Thread.sleep(20);
			}
			assertThat(logged(control, "\"entry\":\"e\",\"behind\":false")).isTrue();
		}
	}

	private static boolean logged(ControlFixture control, String text) {
		return control.log.toString(StandardCharsets.UTF_8).contains(text);
	}

	// Reports as an entry instance that has applied the newest view.
	private static void report(TestPeer peer, String name, Optional<String> lag) throws Exception {
		peer.send(new LinkMessage.EntryHello(name, 0));
		while (peer.newestView().isEmpty()) {
			Thread.sleep(5);
		}
		FleetView view = peer.newestView().get();
		peer.send(new LinkMessage.Report(name, view.term(), view.sequence(),
				new EntryReport(List.of(), List.of(), List.of()), Optional.empty(), Optional.of(0L), lag));
	}

	// Waits until the leader says whether any entry instance follows it.
	private static void awaitFollowed(TestPeer peer, boolean followed) throws Exception {
		Optional<Boolean> stated = Optional.empty();
		while (!stated.equals(Optional.of(followed))) {
			stated = peer.await(LinkMessage.LeaderInfo.class).followed();
		}
	}

}

package org.redwingramp.node.control;

import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.fleet.ViewState;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.wire.RecordCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entry instances that act on outdated views although they receive
 * messages of the leader.
 */
@Timeout(120)
class EntrySessionsTests {

	private static final String LEADER = "127.0.0.11";

	private static final int TARGETS = 300;

	/** Time within which the platform requires an acknowledged change to be in force. */
	private static final long MAX_APPLY_DELAY_MILLIS = 2000;

	private final ByteArrayOutputStream log = new ByteArrayOutputStream();

	private final EventWriter events = new EventWriter(this.log, LEADER);

	@TempDir
	private Path folder;

	/**
	 * Guards against the reply to a relayed call that counts for a call of the next
	 * leadership: a release would be confirmed by the reply to an earlier grant.
	 */
	@Test
	void shouldNotPassTheReplyToACallOfAFormerLeadershipToALaterCall() throws Exception {
		EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
		EntrySessions sessions = new EntrySessions(loop, new EventWriter(new ByteArrayOutputStream(), LEADER));
		Link link = Link.open(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 9), (sender, message) -> {
		}, (closed) -> {
		});
		GrantCall call = new GrantCall("t", false, 0, 9, 1, 3000, Optional.empty());
		List<GrantReply> replies = new ArrayList<>();
		sessions.openSession(link, "e", 0);
		long formerNumber = sessions.session(link).orElseThrow().relay(1, "127.0.0.1:1", call, replies::add);
		sessions.stopLeading();
		sessions.openSession(link, "e", 0);
		sessions.session(link).orElseThrow().relay(3, "127.0.0.1:1", call, replies::add);
		sessions.session(link).orElseThrow().relayReplied(formerNumber, GrantReply.UNKNOWN);
		assertThat(replies).isEmpty();
	}

	/**
	 * Guards against a change that no entry instance learns of until the next one,
	 * because building its view failed once.
	 */
	@Test
	void shouldBuildAViewAgainAfterAFailure() throws Exception {
		EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
		EntrySessions sessions = new EntrySessions(loop, this.events);
		FakeViewSource source = new FakeViewSource();
		EntrySession session = openSession(sessions, loop, "e", source.configVersion());
		long now = System.nanoTime();
		sessions.publishView(source, now);
		assertThat(session.flowControl().lastSentState().sequence()).isEqualTo(1);
		source.changes = 2;
		source.domain = "b";
		source.failing = true;
		for (int i = 1; i <= 3; i++) {
			sessions.publishView(source, now + TimeUnit.SECONDS.toNanos(i));
		}
		assertThat(session.flowControl().lastSentState().sequence()).isEqualTo(1);
		source.failing = false;
		sessions.publishView(source, now + TimeUnit.SECONDS.toNanos(4));
		assertThat(session.flowControl().lastSentState().sequence()).isEqualTo(2);
		assertThat(logLinesWith("\"duty\":\"build view\"")).isEqualTo(1);
	}

	/**
	 * Guards against one entry instance whose view can't be encoded and that keeps the
	 * others from receiving theirs.
	 */
	@Test
	void shouldSendViewsAlthoughOneInstanceIsToReceiveOneThatCannotBeEncoded() throws Exception {
		EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
		EntrySessions sessions = new EntrySessions(loop, this.events);
		FakeViewSource source = new FakeViewSource();
		source.document = new byte[RecordCodec.DEFAULT_MAX_BYTES + 1];
		EntrySession lackingConfig = openSession(sessions, loop, "lacking", 0);
		List<EntrySession> others = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			others.add(openSession(sessions, loop, "e" + i, source.configVersion()));
		}
		long now = System.nanoTime();
		for (int i = 0; i < 3; i++) {
			sessions.publishView(source, now + TimeUnit.SECONDS.toNanos(i));
		}
		assertThat(others).allMatch((session) -> session.flowControl().lastSentState().sequence() == 1);
		assertThat(lackingConfig.flowControl().lastSentState().sequence()).isZero();
		assertThat(logLinesWith("\"duty\":\"send view\"")).isEqualTo(1);
	}

	/**
	 * Guards against a new configuration that is queued on a slow link behind views which
	 * later views supersede. Requests were then routed by configurations that had been
	 * replaced seconds before.
	 */
	@Test
	void shouldApplyConfigInTimeOverSlowLinkWhileTargetsChange() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, LEADER)) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			try (SlowEntry entry = new SlowEntry(control.peerAddress(LEADER))) {
				for (int i = 0; i < TARGETS; i++) {
					assertThat(control.call("heartbeat target-with-a-name-" + i + ' ' + (1 + i)))
						.startsWith("ACCEPTED");
				}
				assertThat(control.call("replace 5 6 two")).startsWith("ACCEPTED");
				long acknowledgedNanos = System.nanoTime();
				while (entry.configReadNanos(6) == 0) {
					Thread.sleep(10);
				}
				assertThat(TimeUnit.NANOSECONDS.toMillis(entry.configReadNanos(6) - acknowledgedNanos))
					.as("delay of version 6 after its acknowledgement, %d views with %d bytes read", entry.views(),
							entry.bytesRead())
					.isLessThan(MAX_APPLY_DELAY_MILLIS);
			}
		}
	}

	private static EntrySession openSession(EntrySessions sessions, EventLoop loop, String name, long configVersion) {
		Link link = Link.open(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 9), (sender, message) -> {
		}, (closed) -> {
		});
		sessions.openSession(link, name, configVersion);
		return sessions.session(link).orElseThrow();
	}

	private long logLinesWith(String text) {
		this.events.close();
		return this.log.toString(StandardCharsets.UTF_8).lines().filter((line) -> line.contains(text)).count();
	}

	/**
	 * A fleet with one target. While it is failing, no state can be built.
	 */
	private static final class FakeViewSource implements EntrySessions.ViewSource {

		private byte[] document = new byte[0];

		private long changes = 1;

		private String domain = "a";

		private boolean failing;

		@Override
		public long configVersion() {
			return 5;
		}

		@Override
		public byte[] document() {
			return this.document;
		}

		@Override
		public long changeCount() {
			return this.changes;
		}

		@Override
		public ViewState state(long sequence, int instances, long now) {
			if (this.failing) {
				throw new IllegalStateException("the state can't be built");
			}
			ViewTarget target = new ViewTarget("t", "s", "127.0.0.1:1", this.domain, 1, true, 0, 1, false);
			return ViewState.of(sequence, configVersion(), instances, List.of(target), Map.of(), List.of(), 0);
		}

	}

}

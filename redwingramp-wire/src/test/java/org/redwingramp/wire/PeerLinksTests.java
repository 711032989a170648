package org.redwingramp.wire;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PeerLinksTests {

	private WireFixture fixture;

	@BeforeEach
	void open() throws Exception {
		this.fixture = new WireFixture(WireFixture.SERVER);
	}

	@AfterEach
	void close() throws Exception {
		this.fixture.close();
	}

	// Guards against truncated or corrupted payloads, for sizes up to 4 MiB.
	@Test
	void shouldReturnRepliesOfAllSizes() throws Exception {
		for (int size : new int[] { 0, 1, 4095, 65_536, 65_537, 1 << 20, 4 << 20 }) {
			byte[] payload = new byte[size];
			new Random(size).nextBytes(payload);
			Answer answer = this.fixture.links.call(this.fixture.address(), Kind.FORWARD, payload, WireFixture.SECOND);
			assertThat(answer.payload()).isEqualTo(payload);
			assertThat(answer.sender().name()).isEqualTo("gate");
		}
	}

	// Guards against a ping reply that is rejected because a one-way message was sent
	// after the ping. Sending without pauses makes a message follow each ping. Messages
	// that take longer than the ping timeout are dropped by design, so that is longer
	// here than a busy machine may take.
	@Test
	void shouldDeliverOneWayMessagesInOrderAcrossPings() throws Exception {
		LinkSettings patient = new LinkSettings(1 << 20, 256, 8, 64, 3000, 100, 250, 3000, 15_000, 20, 500);
		List<WireEvent> events = new CopyOnWriteArrayList<>();
		try (PeerLinks links = PeerLinks.open(WireFixture.self("entry", "c1"), patient, events::add)) {
			long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1500);
			for (int i = 0; System.nanoTime() < end; i++) {
				links.send(this.fixture.address(), Kind.CONSENSUS, ("m" + i).getBytes());
				assertThat(this.fixture.received.poll(4, TimeUnit.SECONDS))
					.as(() -> events + " " + this.fixture.serverEvents)
					.isEqualTo("entry#7 CONSENSUS m" + i);
			}
		}
	}

	// Guards against a refusal that is reported as an unknown outcome, and vice versa.
	@Test
	void shouldDistinguishARefusalFromAnUnknownOutcome() {
		assertThatExceptionOfType(CallNotExecutedException.class).isThrownBy(() -> this.fixture.call("refuse"));
		assertThatExceptionOfType(OutcomeUnknownException.class).isThrownBy(() -> this.fixture.call("fail"));
		assertThatExceptionOfType(CallNotExecutedException.class)
			.isThrownBy(() -> this.fixture.links.call("127.0.0.1:1", Kind.FORWARD, new byte[0], WireFixture.SECOND));
	}

	// Guards against changed codes of message kinds, which daemons of other versions
	// would misinterpret.
	@Test
	void shouldKeepTheCodesOfKinds() {
		assertThat(Arrays.stream(Kind.values()).map((kind) -> kind.code() + " " + kind)).containsExactly("0 PING",
				"1 CONSENSUS", "2 IDENTITY", "3 HEARTBEAT", "4 PROPOSE", "5 RECORDS", "6 STATUS", "7 FORWARD");
	}

	// Guards against a call that exceeds its timeout, and against its late reply being
	// taken for the reply to the next call.
	@Test
	void shouldTimeOutWhenThePeerStopsRespondingDuringACall() throws Exception {
		assertThat(this.fixture.call("before")).isEqualTo("before");
		long start = System.nanoTime();
		assertThatExceptionOfType(OutcomeUnknownException.class).isThrownBy(() -> this.fixture.links
			.call(this.fixture.address(), Kind.FORWARD, "freeze".getBytes(), Duration.ofMillis(200)));
		assertThat(System.nanoTime() - start).isLessThan(TimeUnit.SECONDS.toNanos(1));
		assertThat(this.fixture.call("after")).isEqualTo("after");
	}

	// Guards against calls that fail on connections opened before the peer's restart.
	@Test
	void shouldWorkAgainAfterARestartOfThePeer() throws Exception {
		for (int i = 0; i < 3; i++) {
			assertThat(this.fixture.call("call" + i)).isEqualTo("call" + i);
			this.fixture.restart();
		}
		assertThat(this.fixture.call("last")).isEqualTo("last");
	}

	// Guards against a call that fails although its timeout has not passed, because the
	// first connection took too long to authenticate. This occurred after a restart of
	// the peer on a busy machine.
	@Test
	void shouldRetryASlowConnectionWithinTheCallTimeout() throws Exception {
		try (StallingProxy proxy = new StallingProxy(this.fixture.port())) {
			proxy.stallNext();
			assertThat(this.fixture.links.call(proxy.address(), Kind.FORWARD, new byte[10], WireFixture.SECOND))
				.isNotNull();
		}
	}

	// Guards against one-way messages that continue to be lost on an unresponsive
	// connection. The delivery of consensus messages must resume well within the gate
	// lease of 700 ms.
	@Test
	void shouldReplaceAnUnresponsiveOneWayConnection() throws Exception {
		try (StallingProxy proxy = new StallingProxy(this.fixture.port())) {
			this.fixture.links.send(proxy.address(), Kind.CONSENSUS, "before".getBytes());
			assertThat(this.fixture.received.poll(1, TimeUnit.SECONDS)).endsWith("before");
			proxy.stall();
			long start = System.nanoTime();
			while (this.fixture.received.isEmpty() && System.nanoTime() - start < TimeUnit.SECONDS.toNanos(5)) {
				this.fixture.links.send(proxy.address(), Kind.CONSENSUS, "after".getBytes());
				WireFixture.sleep(10);
			}
			assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(700));
			WireFixture.awaitEvent(this.fixture.linkEvents, WireEvent.Type.SILENT_CONNECTION);
		}
	}

	// Guards against a call whose outcome is unknown only because it was sent on an idle
	// connection that had become unresponsive.
	@Test
	void shouldNotUseAnUnresponsiveIdleConnectionForACall() throws Exception {
		try (StallingProxy proxy = new StallingProxy(this.fixture.port())) {
			this.fixture.links.call(proxy.address(), Kind.FORWARD, new byte[10], WireFixture.SECOND);
			proxy.stall();
			WireFixture.sleep(LinkSettings.DEFAULT.testAfterMillis() + 50);
			assertThat(this.fixture.links.call(proxy.address(), Kind.FORWARD, new byte[10], WireFixture.SECOND))
				.isNotNull();
			WireFixture.awaitEvent(this.fixture.linkEvents, WireEvent.Type.SILENT_CONNECTION);
		}
	}

	// Guards against a peer that reads no data and thereby delays messages and calls to
	// other peers, and against unbounded growth of the queue for that peer.
	@Test
	void shouldNotDelayOtherPeersWhenOneIsSlow() throws Exception {
		try (ServerSocket slow = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			String address = "127.0.0.1:" + slow.getLocalPort();
			for (int i = 0; i < 400; i++) {
				this.fixture.links.send(address, Kind.CONSENSUS, new byte[1 << 20]);
			}
			long start = System.nanoTime();
			this.fixture.links.send(this.fixture.address(), Kind.CONSENSUS, "quick".getBytes());
			assertThat(this.fixture.received.poll(1, TimeUnit.SECONDS)).endsWith("quick");
			assertThat(this.fixture.call("quick")).isEqualTo("quick");
			assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(500));
			WireFixture.awaitEvent(this.fixture.linkEvents, WireEvent.Type.MESSAGES_DROPPED);
			assertThatExceptionOfType(CallNotExecutedException.class).isThrownBy(
					() -> this.fixture.links.call(address, Kind.HEARTBEAT, new byte[10], Duration.ofMillis(100)));
		}
	}

	// Guards against forwarded requests that wait for their targets and exhaust the
	// connections for control calls, on which leases depend.
	@Test
	void shouldReserveConnectionsForControlCalls() throws Exception {
		ExecutorService callers = Executors.newCachedThreadPool();
		LinkSettings fewConnections = new LinkSettings(1 << 20, 16, 2, 4, 300, 100, 250, 200, 1000, 20, 100);
		try (PeerLinks links = PeerLinks.open(WireFixture.self("entry", "c1"), fewConnections, WireListener.NONE)) {
			for (int i = 0; i < 10; i++) {
				callers.submit(() -> links.call(this.fixture.address(), Kind.FORWARD, "freeze".getBytes(),
						Duration.ofSeconds(3)));
			}
			WireFixture.sleep(300);
			for (int i = 0; i < 20; i++) {
				assertThat(links.call(this.fixture.address(), Kind.HEARTBEAT, new byte[10], Duration.ofMillis(200))
					.payload()).hasSize(10);
			}
			assertThatExceptionOfType(CallNotExecutedException.class).isThrownBy(
					() -> links.call(this.fixture.address(), Kind.FORWARD, new byte[10], Duration.ofMillis(100)));
		}
		finally {
			callers.shutdownNow();
		}
	}

}

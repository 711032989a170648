package org.redwingramp.wire.internal;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.wire.Answer;
import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.PeerLinks;
import org.redwingramp.wire.SharedKey;
import org.redwingramp.wire.WireEvent;
import org.redwingramp.wire.WireFixture;
import org.redwingramp.wire.WireListener;
import org.redwingramp.wire.generated.Envelope;
import org.redwingramp.wire.generated.Hello;
import org.redwingramp.wire.generated.PeerService;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class UntrustedConnectionTests {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

	private static final byte[] NONCE = new byte[Session.NONCE_BYTES];

	private final List<AutoCloseable> opened = new ArrayList<>();

	private WireFixture fixture;

	@BeforeEach
	void open() throws Exception {
		this.fixture = new WireFixture(WireFixture.SERVER);
	}

	@AfterEach
	void close() throws Exception {
		for (AutoCloseable resource : this.opened) {
			resource.close();
		}
		this.fixture.close();
	}

	private Socket socket() throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.fixture.port());
		socket.setSoTimeout(5000);
		this.opened.add(socket);
		return socket;
	}

	/**
	 * Uses the framed transport of the Thrift library, which also verifies that
	 * {@link FrameTransport} is compatible with it.
	 */
	private PeerService.Client client() throws TTransportException {
		TSocket socket = new TSocket("127.0.0.1", this.fixture.port(), 5000);
		socket.open();
		this.opened.add(socket);
		return new PeerService.Client(new TBinaryProtocol(new TFramedTransport(socket)));
	}

	private static Session openSession(PeerService.Client client) throws Exception {
		Hello hello = client.hello(new Hello(1, ByteBuffer.wrap(NONCE)));
		return Session.client(WireFixture.self("entry", "c1"), NONCE, Session.toBytes(hello.nonce));
	}

	private static Envelope ping(Session session, long sequence) {
		return session.signedEnvelope(sequence, Kind.PING.code(), 0, 100, new byte[0]);
	}

	private void assertClosed(PeerService.Client client, Envelope envelope, WireEvent.Type type) throws Exception {
		assertThatExceptionOfType(TTransportException.class).isThrownBy(() -> client.call(envelope));
		WireFixture.awaitEvent(this.fixture.serverEvents, type);
	}

	private static void assertClosed(Socket socket) throws IOException {
		try {
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
		catch (SocketException ex) {
			// The operating system resets the connection instead if it has unread data.
			assertThat(ex).hasMessageContaining("reset");
		}
	}

	private static byte[] frame(byte[] body) {
		return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
	}

	// Guards against data of another protocol that terminate a thread or leave a
	// connection open.
	@Test
	void shouldCloseAConnectionThatSendsInvalidData() throws Exception {
		Random random = new Random(3);
		byte[] randomBytes = new byte[200];
		for (int i = 0; i < 50; i++) {
			random.nextBytes(randomBytes);
			Socket socket = socket();
			socket.getOutputStream().write(frame(randomBytes));
			assertClosed(socket);
		}
		WireFixture.awaitEvent(this.fixture.serverEvents, WireEvent.Type.GARBAGE);
		Socket http = socket();
		http.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
		assertClosed(http);
		WireFixture.awaitEvent(this.fixture.serverEvents, WireEvent.Type.OVERSIZED);
		assertThat(this.fixture.call("still there")).isEqualTo("still there");
	}

	// Guards against a message that is accepted before the nonces were exchanged.
	@Test
	void shouldCloseAConnectionThatSkipsTheHello() throws Exception {
		Session session = Session.client(WireFixture.self("entry", "c1"), NONCE, NONCE);
		assertClosed(client(), ping(session, 1), WireEvent.Type.GARBAGE);
	}

	// Guards against accepting a peer that does not have the shared key.
	@Test
	void shouldRefuseAPeerWithAnotherKey() throws Exception {
		SharedKey other = SharedKey.of("another key of enough bytes".getBytes());
		LocalPeer peerWithOtherKey = new LocalPeer("entry", 7, () -> "c1", other);
		try (PeerLinks links = PeerLinks.open(peerWithOtherKey, LinkSettings.DEFAULT, WireListener.NONE)) {
			assertThatExceptionOfType(CallNotExecutedException.class)
				.isThrownBy(() -> links.call(this.fixture.address(), Kind.FORWARD, new byte[0], Duration.ofSeconds(1)));
		}
		WireFixture.awaitEvent(this.fixture.serverEvents, WireEvent.Type.STRANGER);
	}

	// Guards against messages between two clusters that have the same shared key.
	@Test
	void shouldRefuseAPeerOfAnotherCluster() throws Exception {
		LocalPeer other = WireFixture.self("entry", "c2");
		try (PeerLinks links = PeerLinks.open(other, LinkSettings.DEFAULT, WireListener.NONE)) {
			assertThatExceptionOfType(CallNotExecutedException.class)
				.isThrownBy(() -> links.call(this.fixture.address(), Kind.FORWARD, new byte[0], Duration.ofSeconds(1)));
		}
		WireFixture.awaitEvent(this.fixture.serverEvents, WireEvent.Type.OTHER_CLUSTER);
	}

	// Guards against a recorded message that is replayed on the same or another
	// connection, and against a reply that is reflected to its sender.
	@Test
	void shouldRefuseAReplayedMessage() throws Exception {
		PeerService.Client first = client();
		Envelope recorded = ping(openSession(first), 1);
		Envelope answer = first.call(recorded);
		PeerService.Client second = client();
		openSession(second);
		assertClosed(second, recorded, WireEvent.Type.STRANGER);
		this.fixture.serverEvents.clear();
		assertClosed(first, recorded, WireEvent.Type.REPLAY);
		PeerService.Client third = client();
		Session session = openSession(third);
		Envelope reflected = third.call(ping(session, 1));
		assertThat(session.isAuthentic(reflected)).isTrue();
		assertThat(session.isAuthentic(answer)).isFalse();
		this.fixture.serverEvents.clear();
		assertClosed(third, reflected, WireEvent.Type.STRANGER);
	}

	// Guards against accepting a message that was altered in transit.
	@Test
	void shouldRefuseAnAlteredMessage() throws Exception {
		List<Consumer<Envelope>> changes = List.of((envelope) -> envelope.setClusterId(""),
				(envelope) -> envelope.setSender("gate"), (envelope) -> envelope.setIncarnation(8),
				(envelope) -> envelope.setSequence(2), (envelope) -> envelope.setKind(4),
				(envelope) -> envelope.setStatus(1), (envelope) -> envelope.setTimeoutMillis(9),
				(envelope) -> envelope.setPayload(new byte[1]), (envelope) -> envelope.setMac(new byte[0]));
		for (Consumer<Envelope> change : changes) {
			this.fixture.serverEvents.clear();
			PeerService.Client client = client();
			Envelope envelope = ping(openSession(client), 1);
			change.accept(envelope);
			assertClosed(client, envelope, WireEvent.Type.STRANGER);
		}
	}

	// Guards against clients that exhaust the connections by opening many of them without
	// sending any data. None of these times out before the call and the assertions end.
	@Test
	void shouldServePeersWhileUnauthenticatedClientsHoldConnections() throws Exception {
		this.fixture.close();
		this.fixture = new WireFixture(WireFixture.LONG_HANDSHAKE);
		Socket first = socket();
		for (int i = 0; i < 200; i++) {
			socket();
		}
		try (PeerLinks links = PeerLinks.open(WireFixture.self("entry", "c1"), WireFixture.PATIENT,
				WireListener.NONE)) {
			Answer answer = links.call(this.fixture.address(), Kind.FORWARD, "peer".getBytes(), CALL_TIMEOUT);
			assertThat(new String(answer.payload())).isEqualTo("peer");
		}
		assertClosed(first);
		WireFixture.awaitEvent(this.fixture.serverEvents, WireEvent.Type.TOO_MANY_CONNECTIONS);
		assertThat(this.fixture.serverEvents).noneMatch((event) -> event.type() == WireEvent.Type.HANDSHAKE_TIMEOUT);
	}

	// Guards against clients that hold connections without end by not sending any data.
	@Test
	void shouldCloseConnectionsThatAreNotAuthenticatedInTime() throws Exception {
		Socket socket = socket();
		assertClosed(socket);
		WireFixture.awaitEvent(this.fixture.serverEvents, WireEvent.Type.HANDSHAKE_TIMEOUT);
	}

	// Guards against an authenticated peer that sends a frame over the size limit or does
	// not complete a frame.
	@Test
	void shouldCloseAPeerWithAnOversizedOrUnfinishedFrame() throws Exception {
		for (int length : new int[] { WireFixture.SERVER.maxFrameBytes() + 1, 1000 }) {
			PeerService.Client client = client();
			client.call(ping(openSession(client), 1));
			TFramedTransport framed = (TFramedTransport) client.getOutputProtocol().getTransport();
			framed.getInnerTransport().write(ByteBuffer.allocate(4).putInt(length).array());
			framed.getInnerTransport().flush();
			long start = System.nanoTime();
			assertThatExceptionOfType(TTransportException.class).isThrownBy(client::recv_call);
			assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(3));
		}
		WireFixture.awaitEvent(this.fixture.serverEvents, WireEvent.Type.OVERSIZED);
	}

	// Guards against allocating memory according to a frame's length field before its
	// data arrive.
	@Test
	void shouldAllocateMemoryOnlyForReceivedBytes() throws Exception {
		try (ServerSocketChannel port = ServerSocketChannel.open().bind(null);
				SocketChannel clientChannel = SocketChannel.open(port.getLocalAddress());
				SocketChannel serverChannel = port.accept();
				ConnectionWatch watch = new ConnectionWatch("test")) {
			FrameTransport transport = new FrameTransport(clientChannel, 5 << 20, watch, () -> {
			});
			serverChannel.write(ByteBuffer.allocate(14).putInt(5 << 20).rewind());
			serverChannel.close();
			assertThatExceptionOfType(TTransportException.class).isThrownBy(() -> transport.read(new byte[10], 0, 10));
			assertThat(transport.getBuffer().length).isLessThanOrEqualTo(64 * 1024);
		}
	}

}

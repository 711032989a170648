package org.redwingramp.wire.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;

import org.redwingramp.wire.Answer;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.NotSentException;
import org.redwingramp.wire.OutcomeUnknownException;
import org.redwingramp.wire.Peer;
import org.redwingramp.wire.generated.Envelope;
import org.redwingramp.wire.generated.Hello;
import org.redwingramp.wire.generated.PeerService;
import org.redwingramp.wire.generated.peerConstants;

/**
 * An outgoing, authenticated connection. Invariant: after an error the connection is
 * closed, so an answer is never taken for that of another call. Not thread safe.
 */
final class PeerConnection implements AutoCloseable {

	private static final SecureRandom RANDOM = new SecureRandom();

	private static final byte[] NOTHING = {};

	private final String address;

	private final LinkSettings settings;

	private final FrameTransport transport;

	private final PeerService.Client client;

	// A client of its own, since Thrift takes the answer to a call for a mistake if the
	// same client has sent a one-way message in between.
	private final PeerService.Client oneWay;

	private Session session;

	private long sequence;

	private long awaited;

	private long idleSince;

	private PeerConnection(String address, LinkSettings settings, FrameTransport transport) {
		this.address = address;
		this.settings = settings;
		this.transport = transport;
		TProtocol protocol = WireProtocol.factory(settings.maxFrameBytes()).getProtocol(transport);
		this.client = new PeerService.Client(protocol);
		this.oneWay = new PeerService.Client(protocol);
	}

	/**
	 * Opens a connection and lets both ends prove that they have the shared key.
	 * @param self this daemon
	 * @param address the peer's address as {@code ip:port}
	 * @param settings the limits
	 * @param watch closes the connection when a deadline passes
	 * @param timeoutNanos the time in which the connection must be ready
	 * @return the connection
	 * @throws NotSentException if the peer can't be reached or authenticated
	 */
	static PeerConnection open(LocalPeer self, String address, LinkSettings settings, ConnectionWatch watch,
			long timeoutNanos) throws NotSentException {
		PeerConnection connection = null;
		try {
			long end = System.nanoTime() + timeoutNanos;
			SocketChannel channel = connect(address, Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
			FrameTransport transport = new FrameTransport(channel, Listener.MAX_PENDING_FRAME_BYTES, watch, () -> {
			});
			connection = new PeerConnection(address, settings, transport);
			transport.deadline(end - System.nanoTime());
			connection.authenticate(self, end);
			return connection;
		}
		catch (IOException | TException | IllegalArgumentException | OutcomeUnknownException ex) {
			if (connection != null) {
				connection.close();
			}
			throw new NotSentException("Can't reach " + address + ": " + ex.getMessage()
					+ "; check that it runs and has the same shared key", ex);
		}
	}

	private static SocketChannel connect(String address, long timeoutMillis) throws IOException {
		int colon = address.lastIndexOf(':');
		InetSocketAddress remote = new InetSocketAddress(address.substring(0, Math.max(0, colon)),
				Integer.parseInt(address.substring(colon + 1)));
		SocketChannel channel = SocketChannel.open();
		try {
			channel.socket().connect(remote, (int) timeoutMillis);
			return channel;
		}
		catch (IOException | RuntimeException ex) {
			channel.close();
			throw ex;
		}
	}

	private void authenticate(LocalPeer self, long end) throws TException, NotSentException, OutcomeUnknownException {
		byte[] nonce = new byte[Session.NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		Hello hello = this.client.hello(new Hello(peerConstants.PROTOCOL_VERSION, ByteBuffer.wrap(nonce)));
		if (hello.version != peerConstants.PROTOCOL_VERSION) {
			throw new TException("the peer has protocol version " + hello.version);
		}
		this.session = Session.client(self, nonce, Session.bytes(hello.nonce));
		call(Kind.PING, NOTHING, end - System.nanoTime());
		this.transport.trust(this.settings.maxFrameBytes(), 0);
	}

	Answer call(Kind kind, byte[] payload, long timeoutNanos) throws NotSentException, OutcomeUnknownException {
		checkSize(payload);
		this.transport.deadline(timeoutNanos);
		try {
			send(kind, payload, timeoutNanos);
		}
		catch (TException ex) {
			close();
			if (this.transport.handedOver()) {
				throw unknown(kind, ex);
			}
			throw new NotSentException("Sending " + kind + " to " + this.address + " failed: " + reason(ex), ex);
		}
		return receive(kind);
	}

	/**
	 * Sends a call whose answer is taken later by {@link #receive}.
	 * @param kind the kind
	 * @param payload the payload
	 * @param timeoutNanos how long the answer is waited for
	 * @throws TException if it can't be sent
	 */
	void send(Kind kind, byte[] payload, long timeoutNanos) throws TException {
		this.transport.beginFrame();
		long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos));
		this.awaited = this.sequence + 1;
		this.client.send_call(this.session.seal(++this.sequence, kind.code(), 0, millis, payload));
	}

	Answer receive(Kind kind) throws NotSentException, OutcomeUnknownException {
		Envelope answer;
		try {
			answer = this.client.recv_call();
			check(answer);
		}
		catch (TException | RuntimeException ex) {
			close();
			throw unknown(kind, ex);
		}
		byte[] payload = Session.bytes(answer.payload);
		if (answer.status == AnswerStatus.OK.code()) {
			return new Answer(new Peer(answer.sender, answer.incarnation, answer.clusterId, this.address), payload);
		}
		String text = this.address + " did not answer " + kind + ": " + new String(payload, StandardCharsets.UTF_8);
		if (answer.status == AnswerStatus.REFUSED.code()) {
			throw new NotSentException(text);
		}
		throw new OutcomeUnknownException(text);
	}

	private void check(Envelope answer) throws TException {
		if (!this.session.authentic(answer)) {
			throw new TException("the answer's MAC is wrong");
		}
		if (answer.sequence != this.awaited) {
			throw new TException("answer " + answer.sequence + " came for call " + this.awaited);
		}
		if (this.session.otherCluster(answer)) {
			throw new TException("the peer belongs to cluster " + answer.clusterId);
		}
	}

	void deliver(Kind kind, byte[] payload) throws TException, NotSentException {
		checkSize(payload);
		this.transport.beginFrame();
		this.oneWay.send_deliver(this.session.seal(++this.sequence, kind.code(), 0, 0, payload));
	}

	static int maxPayloadBytes(LinkSettings settings) {
		return settings.maxFrameBytes() - ServerConnection.MAX_ENVELOPE_BYTES;
	}

	private void checkSize(byte[] payload) throws NotSentException {
		int max = maxPayloadBytes(this.settings);
		if (payload.length > max) {
			throw new NotSentException("A payload of " + payload.length + " bytes is over the limit of " + max);
		}
	}

	private OutcomeUnknownException unknown(Kind kind, Exception cause) {
		return new OutcomeUnknownException(
				"No valid answer to " + kind + " from " + this.address + ": " + reason(cause), cause);
	}

	private String reason(Exception failure) {
		return this.transport.overdue() ? "the time is over" : String.valueOf(failure.getMessage());
	}

	FrameTransport transport() {
		return this.transport;
	}

	/** Marks the connection as unused; it closes after the idle time. */
	void rest() {
		this.transport.release();
		this.idleSince = System.nanoTime();
		this.transport.deadline(TimeUnit.MILLISECONDS.toNanos(this.settings.idleMillis()));
	}

	/**
	 * Returns whether an idle connection can be used, as far as known without a message.
	 * @return whether it is open and quiet
	 */
	boolean usable() {
		return this.transport.isOpen() && this.transport.poll() == FrameTransport.Arrival.NOTHING;
	}

	boolean idleLongerThan(long nanos) {
		return System.nanoTime() - this.idleSince > nanos;
	}

	@Override
	public void close() {
		this.transport.close();
	}

}

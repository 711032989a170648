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
import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.OutcomeUnknownException;
import org.redwingramp.wire.Peer;
import org.redwingramp.wire.generated.Envelope;
import org.redwingramp.wire.generated.Hello;
import org.redwingramp.wire.generated.PeerService;
import org.redwingramp.wire.generated.peerConstants;

/**
 * An authenticated outgoing connection. Invariant: the connection is closed after an
 * error, so a reply is never taken for that of another call. Not thread safe.
 */
final class PeerConnection implements AutoCloseable {

	private static final SecureRandom RANDOM = new SecureRandom();

	private static final byte[] EMPTY_PAYLOAD = {};

	private final String address;

	private final LinkSettings settings;

	private final FrameTransport transport;

	private final PeerService.Client client;

	// A separate client, since a Thrift client rejects the reply to a call if it has sent
	// a one-way message after the call.
	private final PeerService.Client oneWayClient;

	private Session session;

	private long sequence;

	private long awaitedSequence;

	private long idleSinceNanos;

	private PeerConnection(String address, LinkSettings settings, FrameTransport transport) {
		this.address = address;
		this.settings = settings;
		this.transport = transport;
		TProtocol protocol = WireProtocol.factory(settings.maxFrameBytes()).getProtocol(transport);
		this.client = new PeerService.Client(protocol);
		this.oneWayClient = new PeerService.Client(protocol);
	}

	/**
	 * Opens a connection on which both peers prove that they have the shared key.
	 * @param self the identity of this daemon
	 * @param address the peer's address as {@code ip:port}
	 * @param settings the limits and timeouts
	 * @param watch closes the connection when its deadline has passed
	 * @param timeoutNanos the time within which the connection must be open and
	 * authenticated, in nanoseconds
	 * @return the connection
	 * @throws CallNotExecutedException if the peer can't be reached or authenticated
	 */
	static PeerConnection open(LocalPeer self, String address, LinkSettings settings, ConnectionWatch watch,
			long timeoutNanos) throws CallNotExecutedException {
		PeerConnection connection = null;
		try {
			long deadline = System.nanoTime() + timeoutNanos;
			SocketChannel channel = connect(address, Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
			FrameTransport transport = new FrameTransport(channel, Listener.MAX_PENDING_FRAME_BYTES, watch, () -> {
			});
			connection = new PeerConnection(address, settings, transport);
			transport.closeAfter(deadline - System.nanoTime());
			connection.authenticate(self, deadline);
			return connection;
		}
		catch (IOException | TException | IllegalArgumentException | OutcomeUnknownException ex) {
			if (connection != null) {
				connection.close();
			}
			throw new CallNotExecutedException("Can't reach " + address + ": " + ex.getMessage()
					+ "; check that it is running and has the same shared key", ex);
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

	private void authenticate(LocalPeer self, long deadline)
			throws TException, CallNotExecutedException, OutcomeUnknownException {
		byte[] nonce = new byte[Session.NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		Hello hello = this.client.hello(new Hello(peerConstants.PROTOCOL_VERSION, ByteBuffer.wrap(nonce)));
		if (hello.version != peerConstants.PROTOCOL_VERSION) {
			throw new TException(
					"the peer has protocol version " + hello.version + ", expected " + peerConstants.PROTOCOL_VERSION);
		}
		this.session = Session.client(self, nonce, Session.toBytes(hello.nonce));
		call(Kind.PING, EMPTY_PAYLOAD, deadline - System.nanoTime());
		this.transport.raiseLimits(this.settings.maxFrameBytes(), 0);
	}

	Answer call(Kind kind, byte[] payload, long timeoutNanos) throws CallNotExecutedException, OutcomeUnknownException {
		checkPayloadSize(payload);
		this.transport.closeAfter(timeoutNanos);
		try {
			send(kind, payload, timeoutNanos);
		}
		catch (TException ex) {
			close();
			if (this.transport.mayHaveBeenSent()) {
				throw outcomeUnknown(kind, ex);
			}
			throw new CallNotExecutedException(
					"Failed to send a call of kind " + kind + " to " + this.address + ": " + reason(ex), ex);
		}
		return receive(kind);
	}

	/**
	 * Sends a call whose reply is read later by {@link #receive}.
	 * @param kind the type of the payload
	 * @param payload the encoded payload
	 * @param timeoutNanos how long the caller waits for the reply, in nanoseconds
	 * @throws TException if the call can't be sent
	 */
	void send(Kind kind, byte[] payload, long timeoutNanos) throws TException {
		this.transport.beginFrame();
		long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos));
		this.awaitedSequence = this.sequence + 1;
		this.client.send_call(this.session.signedEnvelope(++this.sequence, kind.code(), 0, millis, payload));
	}

	Answer receive(Kind kind) throws CallNotExecutedException, OutcomeUnknownException {
		Envelope answer;
		try {
			answer = this.client.recv_call();
			validate(answer);
		}
		catch (TException | RuntimeException ex) {
			close();
			throw outcomeUnknown(kind, ex);
		}
		byte[] payload = Session.toBytes(answer.payload);
		if (answer.status == AnswerStatus.OK.code()) {
			return new Answer(new Peer(answer.sender, answer.incarnation, answer.clusterId, this.address), payload);
		}
		String message = this.address + " returned an error for a call of kind " + kind + ": "
				+ new String(payload, StandardCharsets.UTF_8);
		if (answer.status == AnswerStatus.REFUSED.code()) {
			throw new CallNotExecutedException(message);
		}
		throw new OutcomeUnknownException(message);
	}

	private void validate(Envelope answer) throws TException {
		if (!this.session.isAuthentic(answer)) {
			throw new TException("the reply has a wrong MAC");
		}
		if (answer.sequence != this.awaitedSequence) {
			throw new TException("reply " + answer.sequence + " does not match call " + this.awaitedSequence);
		}
		if (this.session.isFromOtherCluster(answer)) {
			throw new TException("the peer belongs to another cluster: " + answer.clusterId);
		}
	}

	void deliver(Kind kind, byte[] payload) throws TException, CallNotExecutedException {
		checkPayloadSize(payload);
		this.transport.beginFrame();
		this.oneWayClient.send_deliver(this.session.signedEnvelope(++this.sequence, kind.code(), 0, 0, payload));
	}

	static int maxPayloadBytes(LinkSettings settings) {
		return settings.maxFrameBytes() - ServerConnection.MAX_ENVELOPE_BYTES;
	}

	private void checkPayloadSize(byte[] payload) throws CallNotExecutedException {
		int max = maxPayloadBytes(this.settings);
		if (payload.length > max) {
			throw new CallNotExecutedException("A payload for " + this.address + " must not exceed " + max
					+ " bytes (was " + payload.length + ")");
		}
	}

	private OutcomeUnknownException outcomeUnknown(Kind kind, Exception cause) {
		return new OutcomeUnknownException(
				"No valid reply from " + this.address + " to a call of kind " + kind + ": " + reason(cause), cause);
	}

	private String reason(Exception failure) {
		return this.transport.timedOut() ? "timed out" : String.valueOf(failure.getMessage());
	}

	FrameTransport transport() {
		return this.transport;
	}

	/** Marks the connection as idle, so that it is closed after the idle timeout. */
	void markIdle() {
		this.transport.releaseLargeBuffer();
		this.idleSinceNanos = System.nanoTime();
		this.transport.closeAfter(TimeUnit.MILLISECONDS.toNanos(this.settings.idleMillis()));
	}

	/**
	 * Checks without sending a message whether an idle connection can be used.
	 * @return whether it is open and no unexpected data are available
	 */
	boolean usable() {
		return this.transport.isOpen() && this.transport.poll() == FrameTransport.PollResult.NO_DATA;
	}

	boolean idleLongerThan(long nanos) {
		return System.nanoTime() - this.idleSinceNanos > nanos;
	}

	@Override
	public void close() {
		this.transport.close();
	}

}

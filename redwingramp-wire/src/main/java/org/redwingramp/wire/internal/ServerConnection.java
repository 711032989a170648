package org.redwingramp.wire.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TTransportException;

import org.redwingramp.wire.CallRefusedException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.Peer;
import org.redwingramp.wire.PeerHandler;
import org.redwingramp.wire.ServerSettings;
import org.redwingramp.wire.WireEvent;
import org.redwingramp.wire.WireListener;
import org.redwingramp.wire.generated.Envelope;
import org.redwingramp.wire.generated.Hello;
import org.redwingramp.wire.generated.PeerService;
import org.redwingramp.wire.generated.peerConstants;

/**
 * The server side of one connection. Invariant: the handler receives only payloads whose
 * MAC is valid and whose sequence number directly follows that of the previous message.
 * Not thread safe; used only by the connection's thread.
 */
public final class ServerConnection implements PeerService.Iface, TProcessor {

	/** An upper bound of the bytes that an envelope adds to its payload. */
	static final int MAX_ENVELOPE_BYTES = 2048;

	private static final SecureRandom RANDOM = new SecureRandom();

	private static final Envelope EMPTY_REPLY = new Envelope();

	private final FrameTransport transport;

	private final Listener serverSocket;

	private final LocalPeer self;

	private final PeerHandler handler;

	private final ServerSettings settings;

	private final WireListener listener;

	private final PeerService.Processor<ServerConnection> processor = new PeerService.Processor<>(this);

	private Session session;

	private Peer sender;

	private long sequence;

	private boolean recognized;

	/**
	 * Creates the server side of a connection.
	 * @param transport the transport of the connection
	 * @param serverSocket the server socket that accepted the connection
	 * @param self the identity of this daemon
	 * @param handler handles the messages and calls
	 * @param settings the limits and timeouts
	 * @param listener receives events that state why the connection is closed
	 */
	public ServerConnection(FrameTransport transport, Listener serverSocket, LocalPeer self, PeerHandler handler,
			ServerSettings settings, WireListener listener) {
		this.transport = transport;
		this.serverSocket = serverSocket;
		this.self = self;
		this.handler = handler;
		this.settings = settings;
		this.listener = listener;
	}

	/**
	 * Processes one message. Closes the connection unless the message was recognized and
	 * accepted, even where Thrift's processor would reply with an error.
	 */
	@Override
	public void process(TProtocol input, TProtocol output) throws TException {
		this.recognized = false;
		try {
			this.processor.process(input, output);
		}
		catch (TException | RuntimeException ex) {
			reportFailure(ex);
			this.transport.close();
		}
		if (this.transport.isOpen() && !this.recognized) {
			closeAndReport(WireEvent.Type.GARBAGE, "unknown method or invalid arguments");
		}
		if (!this.transport.isOpen()) {
			// The only exception that Thrift's server treats as a normal end of a
			// connection.
			throw new TTransportException(TTransportException.END_OF_FILE);
		}
		if (this.sender != null) {
			this.transport.closeAfter(TimeUnit.MILLISECONDS.toNanos(this.settings.idleMillis()));
		}
	}

	private void reportFailure(Exception failure) {
		if (this.transport.oversized()) {
			closeAndReport(WireEvent.Type.OVERSIZED, failure.getMessage());
		}
		else if (this.transport.timedOut() && this.sender == null) {
			closeAndReport(WireEvent.Type.HANDSHAKE_TIMEOUT,
					"not authenticated within " + this.settings.handshakeMillis() + " ms");
		}
		else if (this.transport.isOpen()) {
			closeAndReport(WireEvent.Type.GARBAGE, failure.toString());
		}
	}

	@Override
	public Hello hello(Hello hello) {
		this.recognized = true;
		if (this.session != null || hello.version != peerConstants.PROTOCOL_VERSION
				|| hello.nonce.remaining() != Session.NONCE_BYTES) {
			closeAndReport(WireEvent.Type.GARBAGE, "invalid or repeated hello: version " + hello.version + ", nonce of "
					+ hello.nonce.remaining() + " bytes");
			return hello;
		}
		byte[] nonce = new byte[Session.NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		this.session = Session.server(this.self, Session.toBytes(hello.nonce), nonce);
		return new Hello(peerConstants.PROTOCOL_VERSION, ByteBuffer.wrap(nonce));
	}

	@Override
	public void deliver(Envelope envelope) {
		if (accept(envelope)) {
			Optional<Kind> kind = Kind.find(envelope.kind);
			byte[] payload = Session.toBytes(envelope.payload);
			try {
				kind.ifPresent((known) -> this.handler.messageReceived(this.sender, known, payload));
			}
			catch (RuntimeException ex) {
				report(WireEvent.Type.HANDLER_FAILED, "one-way message of kind " + kind.get() + ": " + ex);
			}
		}
	}

	@Override
	public Envelope call(Envelope envelope) {
		if (!accept(envelope)) {
			return EMPTY_REPLY;
		}
		Optional<Kind> kind = Kind.find(envelope.kind);
		if (kind.isEmpty()) {
			return errorReply(AnswerStatus.REFUSED, "unknown kind " + envelope.kind);
		}
		return (kind.get() == Kind.PING) ? reply(AnswerStatus.OK, new byte[0]) : handle(envelope, kind.get());
	}

	private Envelope handle(Envelope envelope, Kind kind) {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(envelope.timeoutMillis);
		try {
			byte[] reply = this.handler.handleCall(this.sender, kind, Session.toBytes(envelope.payload), deadline);
			if (reply.length > this.settings.maxFrameBytes() - MAX_ENVELOPE_BYTES) {
				return errorReply(AnswerStatus.FAILED, "the reply must not exceed "
						+ (this.settings.maxFrameBytes() - MAX_ENVELOPE_BYTES) + " bytes (was " + reply.length + ")");
			}
			return reply(AnswerStatus.OK, reply);
		}
		catch (CallRefusedException ex) {
			return errorReply(AnswerStatus.REFUSED, ex.getMessage());
		}
		catch (RuntimeException ex) {
			report(WireEvent.Type.HANDLER_FAILED, "call of kind " + kind + ": " + ex);
			return errorReply(AnswerStatus.FAILED, "the handler failed");
		}
	}

	private boolean accept(Envelope envelope) {
		this.recognized = true;
		if (this.session == null) {
			closeAndReport(WireEvent.Type.GARBAGE, "message received before hello");
		}
		else if (!this.session.isAuthentic(envelope)) {
			closeAndReport(WireEvent.Type.STRANGER, "wrong MAC; check that both daemons have the same shared key");
		}
		else if (envelope.sequence != this.sequence + 1) {
			closeAndReport(WireEvent.Type.REPLAY,
					"received message " + envelope.sequence + ", expected message " + (this.sequence + 1));
		}
		else if (this.session.isFromOtherCluster(envelope)) {
			closeAndReport(WireEvent.Type.OTHER_CLUSTER,
					envelope.sender + " belongs to another cluster: " + envelope.clusterId);
		}
		else {
			this.sequence = envelope.sequence;
			registerSender(envelope);
		}
		return this.transport.isOpen();
	}

	private void registerSender(Envelope envelope) {
		if (this.sender == null) {
			this.serverSocket.removePending(this.transport);
			this.transport.raiseLimits(this.settings.maxFrameBytes(),
					TimeUnit.MILLISECONDS.toNanos(this.settings.frameMillis()));
			this.transport.clearDeadline();
		}
		if (this.sender == null || !this.sender.clusterId().equals(envelope.clusterId)) {
			this.sender = new Peer(envelope.sender, envelope.incarnation, envelope.clusterId, this.transport.address());
		}
	}

	private Envelope errorReply(AnswerStatus status, String message) {
		return reply(status, String.valueOf(message).getBytes(StandardCharsets.UTF_8));
	}

	private Envelope reply(AnswerStatus status, byte[] payload) {
		return this.session.signedEnvelope(this.sequence, 0, status.code(), 0, payload);
	}

	private void closeAndReport(WireEvent.Type type, String detail) {
		this.transport.close();
		report(type, detail);
	}

	private void report(WireEvent.Type type, String detail) {
		this.listener.onEvent(new WireEvent(type, this.transport.address(), detail));
	}

}

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
 * The server's side of one connection. Invariant: the handler sees only payloads whose
 * MAC is right and whose sequence number follows the one before. Not thread safe; the
 * connection's thread owns it.
 */
public final class ServerConnection implements PeerService.Iface, TProcessor {

	/** More than what an envelope adds to its payload. */
	static final int MAX_ENVELOPE_BYTES = 2048;

	private static final SecureRandom RANDOM = new SecureRandom();

	private static final Envelope NO_ANSWER = new Envelope();

	private final FrameTransport transport;

	private final Listener port;

	private final LocalPeer self;

	private final PeerHandler handler;

	private final ServerSettings settings;

	private final WireListener listener;

	private final PeerService.Processor<ServerConnection> processor = new PeerService.Processor<>(this);

	private Session session;

	private Peer sender;

	private long sequence;

	private boolean understood;

	/**
	 * Creates the server's side of a connection.
	 * @param transport the connection
	 * @param port where it was accepted
	 * @param self this daemon
	 * @param handler receives the messages
	 * @param settings the limits
	 * @param listener is told why a connection is closed
	 */
	public ServerConnection(FrameTransport transport, Listener port, LocalPeer self, PeerHandler handler,
			ServerSettings settings, WireListener listener) {
		this.transport = transport;
		this.port = port;
		this.self = self;
		this.handler = handler;
		this.settings = settings;
		this.listener = listener;
	}

	/**
	 * Processes one message. Closes the connection unless the message was understood and
	 * accepted, also where Thrift's processor would answer with an error.
	 */
	@Override
	public void process(TProtocol input, TProtocol output) throws TException {
		this.understood = false;
		try {
			this.processor.process(input, output);
		}
		catch (TException | RuntimeException ex) {
			reportFailure(ex);
			this.transport.close();
		}
		if (this.transport.isOpen() && !this.understood) {
			refuse(WireEvent.Type.GARBAGE, "not a message of the protocol");
		}
		if (!this.transport.isOpen()) {
			// The only error that Thrift's server takes as the normal end of a
			// connection.
			throw new TTransportException(TTransportException.END_OF_FILE);
		}
		if (this.sender != null) {
			this.transport.deadline(TimeUnit.MILLISECONDS.toNanos(this.settings.idleMillis()));
		}
	}

	private void reportFailure(Exception failure) {
		if (this.transport.oversized()) {
			refuse(WireEvent.Type.OVERSIZED, failure.getMessage());
		}
		else if (this.transport.overdue() && this.sender == null) {
			refuse(WireEvent.Type.HANDSHAKE_TIMEOUT, "no authenticated message in time");
		}
		else if (this.transport.isOpen()) {
			refuse(WireEvent.Type.GARBAGE, failure.toString());
		}
	}

	@Override
	public Hello hello(Hello hello) {
		this.understood = true;
		if (this.session != null || hello.version != peerConstants.PROTOCOL_VERSION
				|| hello.nonce.remaining() != Session.NONCE_BYTES) {
			refuse(WireEvent.Type.GARBAGE, "hello of version " + hello.version);
			return hello;
		}
		byte[] nonce = new byte[Session.NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		this.session = Session.server(this.self, Session.bytes(hello.nonce), nonce);
		return new Hello(peerConstants.PROTOCOL_VERSION, ByteBuffer.wrap(nonce));
	}

	@Override
	public void deliver(Envelope envelope) {
		if (accept(envelope)) {
			Optional<Kind> kind = Kind.find(envelope.kind);
			byte[] payload = Session.bytes(envelope.payload);
			try {
				kind.ifPresent((known) -> this.handler.delivered(this.sender, known, payload));
			}
			catch (RuntimeException ex) {
				report(WireEvent.Type.HANDLER_FAILED, kind + ": " + ex);
			}
		}
	}

	@Override
	public Envelope call(Envelope envelope) {
		if (!accept(envelope)) {
			return NO_ANSWER;
		}
		Optional<Kind> kind = Kind.find(envelope.kind);
		if (kind.isEmpty()) {
			return text(AnswerStatus.REFUSED, "unknown kind " + envelope.kind);
		}
		return (kind.get() == Kind.PING) ? seal(AnswerStatus.OK, new byte[0]) : handle(envelope, kind.get());
	}

	private Envelope handle(Envelope envelope, Kind kind) {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(envelope.timeoutMillis);
		try {
			byte[] answer = this.handler.called(this.sender, kind, Session.bytes(envelope.payload), deadline);
			if (answer.length > this.settings.maxFrameBytes() - MAX_ENVELOPE_BYTES) {
				return text(AnswerStatus.FAILED, "the answer of " + answer.length + " bytes is too large");
			}
			return seal(AnswerStatus.OK, answer);
		}
		catch (CallRefusedException ex) {
			return text(AnswerStatus.REFUSED, ex.getMessage());
		}
		catch (RuntimeException ex) {
			report(WireEvent.Type.HANDLER_FAILED, kind + ": " + ex);
			return text(AnswerStatus.FAILED, "the handler failed");
		}
	}

	private boolean accept(Envelope envelope) {
		this.understood = true;
		if (this.session == null) {
			refuse(WireEvent.Type.GARBAGE, "a message before hello");
		}
		else if (!this.session.authentic(envelope)) {
			refuse(WireEvent.Type.STRANGER, "the MAC is wrong; check that both have the same shared key");
		}
		else if (envelope.sequence != this.sequence + 1) {
			refuse(WireEvent.Type.REPLAY, "message " + envelope.sequence + " follows message " + this.sequence);
		}
		else if (this.session.otherCluster(envelope)) {
			refuse(WireEvent.Type.OTHER_CLUSTER, envelope.sender + " belongs to cluster " + envelope.clusterId);
		}
		else {
			this.sequence = envelope.sequence;
			admit(envelope);
		}
		return this.transport.isOpen();
	}

	private void admit(Envelope envelope) {
		if (this.sender == null) {
			this.port.authenticated(this.transport);
			this.transport.trust(this.settings.maxFrameBytes(),
					TimeUnit.MILLISECONDS.toNanos(this.settings.frameMillis()));
			this.transport.noDeadline();
		}
		if (this.sender == null || !this.sender.clusterId().equals(envelope.clusterId)) {
			this.sender = new Peer(envelope.sender, envelope.incarnation, envelope.clusterId, this.transport.address());
		}
	}

	private Envelope text(AnswerStatus status, String text) {
		return seal(status, String.valueOf(text).getBytes(StandardCharsets.UTF_8));
	}

	private Envelope seal(AnswerStatus status, byte[] payload) {
		return this.session.seal(this.sequence, 0, status.code(), 0, payload);
	}

	private void refuse(WireEvent.Type type, String detail) {
		this.transport.close();
		report(type, detail);
	}

	private void report(WireEvent.Type type, String detail) {
		this.listener.happened(new WireEvent(type, this.transport.address(), detail));
	}

}

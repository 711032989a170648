package org.redwingramp.wire.internal;

import java.nio.ByteBuffer;
import java.time.Duration;

import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.junit.jupiter.api.Test;

import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.OutcomeUnknownException;
import org.redwingramp.wire.PeerLinks;
import org.redwingramp.wire.WireFixture;
import org.redwingramp.wire.WireListener;
import org.redwingramp.wire.generated.Envelope;
import org.redwingramp.wire.generated.Hello;
import org.redwingramp.wire.generated.PeerService;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class MismatchedReplyTests {

	// Guards against a reply that is returned for another call, and against further use
	// of a connection on which such a reply was received.
	@Test
	void shouldRejectTheReplyToAnEarlierCall() throws Exception {
		try (TServerSocket port = new TServerSocket(WireFixture.loopback(0))) {
			ReplyRepeatingPeer peer = new ReplyRepeatingPeer();
			TThreadPoolServer server = new TThreadPoolServer(
					new TThreadPoolServer.Args(port).processor(new PeerService.Processor<>(peer))
						.transportFactory(new TFramedTransport.Factory())
						.protocolFactory(new TBinaryProtocol.Factory())
						.stopTimeoutVal(1));
			Thread thread = new Thread(server::serve);
			thread.start();
			String address = "127.0.0.1:" + port.getServerSocket().getLocalPort();
			try (PeerLinks links = PeerLinks.open(WireFixture.self("entry", "c1"), LinkSettings.DEFAULT,
					WireListener.NONE)) {
				Duration second = Duration.ofSeconds(1);
				assertThat(links.call(address, Kind.FORWARD, new byte[] { 1 }, second).payload()).containsExactly(1);
				peer.repeatReply = true;
				assertThatExceptionOfType(OutcomeUnknownException.class)
					.isThrownBy(() -> links.call(address, Kind.FORWARD, new byte[] { 2 }, second))
					.withMessageContaining("does not match call");
				peer.repeatReply = false;
				assertThat(links.call(address, Kind.FORWARD, new byte[] { 3 }, second).payload()).containsExactly(3);
				assertThat(peer.helloCount).isEqualTo(2);
			}
			finally {
				server.stop();
				thread.join();
			}
		}
	}

	/** Replies to calls with their payload, or repeats the previous reply. */
	private static final class ReplyRepeatingPeer implements PeerService.Iface {

		private volatile boolean repeatReply;

		private volatile int helloCount;

		private Session session;

		private Envelope lastReply;

		@Override
		public synchronized Hello hello(Hello hello) {
			this.helloCount++;
			this.session = Session.server(WireFixture.self("gate", "c1"), Session.toBytes(hello.nonce), new byte[32]);
			return new Hello(1, ByteBuffer.wrap(new byte[32]));
		}

		@Override
		public void deliver(Envelope envelope) {
			// Not used.
		}

		@Override
		public synchronized Envelope call(Envelope envelope) {
			if (!this.repeatReply) {
				this.lastReply = this.session.signedEnvelope(envelope.sequence, 0, 0, 0,
						Session.toBytes(envelope.payload));
			}
			return this.lastReply;
		}

	}

}

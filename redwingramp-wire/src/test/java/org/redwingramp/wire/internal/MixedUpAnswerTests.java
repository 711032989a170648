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

class MixedUpAnswerTests {

	// Guards against an answer that is given to another call, and against further use of
	// a connection whose answers are mixed up.
	@Test
	void shouldRefuseTheAnswerToAnEarlierCall() throws Exception {
		try (TServerSocket port = new TServerSocket(WireFixture.loopback(0))) {
			MixingPeer peer = new MixingPeer();
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
				peer.mix = true;
				assertThatExceptionOfType(OutcomeUnknownException.class)
					.isThrownBy(() -> links.call(address, Kind.FORWARD, new byte[] { 2 }, second))
					.withMessageContaining("came for call");
				peer.mix = false;
				assertThat(links.call(address, Kind.FORWARD, new byte[] { 3 }, second).payload()).containsExactly(3);
				assertThat(peer.hellos).isEqualTo(2);
			}
			finally {
				server.stop();
				thread.join();
			}
		}
	}

	/** Answers calls with their payload, or with the answer before. */
	private static final class MixingPeer implements PeerService.Iface {

		private volatile boolean mix;

		private volatile int hellos;

		private Session session;

		private Envelope last;

		@Override
		public synchronized Hello hello(Hello hello) {
			this.hellos++;
			this.session = Session.server(WireFixture.self("gate", "c1"), Session.bytes(hello.nonce), new byte[32]);
			return new Hello(1, ByteBuffer.wrap(new byte[32]));
		}

		@Override
		public void deliver(Envelope envelope) {
			// Not used.
		}

		@Override
		public synchronized Envelope call(Envelope envelope) {
			if (!this.mix) {
				this.last = this.session.seal(envelope.sequence, 0, 0, 0, Session.bytes(envelope.payload));
			}
			return this.last;
		}

	}

}

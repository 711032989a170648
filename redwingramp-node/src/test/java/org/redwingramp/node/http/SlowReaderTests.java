package org.redwingramp.node.http;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.LoopThread;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a long response that is cut off during a planned stop, because its
 * caller takes longer than a second to read it, and against a process that ends before it
 * is written.
 */
@Timeout(60)
class SlowReaderTests {

	private static final int BODY_BYTES = 12 * 1024 * 1024;

	private static final int READS = 12;

	private static final long READ_INTERVAL_MILLIS = 250;

	private static final HttpLimits LIMITS = new HttpLimits(16_384, 1000, 3_000_000_000L, 15_000_000_000L);

	private EventLoop loop;

	private HttpServer server;

	private InetSocketAddress address;

	@BeforeEach
	void startServer() throws Exception {
		this.loop = new EventLoop((failure) -> failure.printStackTrace());
		ServerSocketChannel socket = this.loop.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.address = (InetSocketAddress) socket.getLocalAddress();
		this.server = HttpServer.create(() -> LIMITS, (exchange) -> {
			exchange.respond(new HttpResponse(200, List.of(), new byte[BODY_BYTES]));
			this.server.drain();
		});
		this.server.accept(this.loop, socket);
		LoopThread.start(this.loop);
	}

	@AfterEach
	void stopServer() {
		this.loop.stop();
	}

	@Test
	void shouldWriteALongResponseWholeDuringAPlannedStop() throws Exception {
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(64 * 1024);
			socket.connect(this.address);
			socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			InputStream input = socket.getInputStream();
			long received = input.read(new byte[1000]);
			assertThat(inFlight()).isEqualTo(1);
			for (int i = 0; i < READS; i++) {
				Thread.sleep(READ_INTERVAL_MILLIS);
				received += input.readNBytes(BODY_BYTES / READS).length;
			}
			received += input.readAllBytes().length;
			assertThat(received).isGreaterThan(BODY_BYTES);
			assertThat(inFlight()).isZero();
		}
	}

	private long inFlight() throws Exception {
		return LoopThread.query(this.loop, this.server::inFlight);
	}

}

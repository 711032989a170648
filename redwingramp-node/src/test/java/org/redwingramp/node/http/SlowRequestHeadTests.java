package org.redwingramp.node.http;

import java.io.IOException;
import java.io.OutputStream;
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

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers that send the head of a request byte by byte and so occupy a
 * connection for as long as they like.
 */
@Timeout(30)
class SlowRequestHeadTests {

	private static final HttpLimits LIMITS = new HttpLimits(16_384, 65_536, 500_000_000L, 15_000_000_000L);

	private EventLoop loop;

	private InetSocketAddress address;

	@BeforeEach
	void startServer() throws IOException {
		this.loop = new EventLoop((failure) -> failure.printStackTrace());
		ServerSocketChannel socket = this.loop.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.address = (InetSocketAddress) socket.getLocalAddress();
		HttpServer.create(() -> LIMITS, (exchange) -> exchange.respond(HttpResponse.empty(200)))
			.accept(this.loop, socket);
		Thread thread = new Thread(this::run, "loop");
		thread.setDaemon(true);
		thread.start();
	}

	@AfterEach
	void stopLoop() {
		this.loop.stop();
	}

	@Test
	void shouldRejectRequestWhoseHeadArrivesByteByByte() throws Exception {
		try (Socket caller = new Socket(this.address.getAddress(), this.address.getPort())) {
			OutputStream out = caller.getOutputStream();
			out.write("GET / HTTP/1.1\r\nX: ".getBytes(StandardCharsets.US_ASCII));
			for (int i = 0; i < 100 && caller.getInputStream().available() == 0; i++) {
				out.write('x');
				Thread.sleep(50);
			}
			byte[] start = caller.getInputStream().readNBytes("HTTP/1.1 408".length());
			assertThat(new String(start, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 408");
		}
	}

	@Test
	void shouldFindTokenOnlyAsAWholeElementOfAList() {
		assertThat(Header.lists(List.of(new Header("Connection", "keep-alive, Close")), "connection", "close"))
			.isTrue();
		assertThat(Header.lists(List.of(new Header("Connection", "close-notify")), "connection", "close")).isFalse();
	}

	private void run() {
		try {
			this.loop.run();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}

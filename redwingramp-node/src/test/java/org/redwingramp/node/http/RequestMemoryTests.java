package org.redwingramp.node.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.LoopThread;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against uploads within the limits that exhaust the memory of the process, which
 * ended it and with it the requests of all other callers.
 */
@Timeout(30)
class RequestMemoryTests {

	private static final int MEBIBYTE = 1024 * 1024;

	private static final int PIPELINING_CALLERS = 40;

	private static final int PIPELINED_BYTES = 200 * 1024;

	private static final HttpLimits LIMITS = new HttpLimits(16_384, 64 * MEBIBYTE, 3_000_000_000L, 15_000_000_000L);

	private final BodyMemoryLimit memory = BodyMemoryLimit.forRequests(3 * MEBIBYTE);

	private final BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();

	private final List<Throwable> failures = new CopyOnWriteArrayList<>();

	private final List<Long> refused = new CopyOnWriteArrayList<>();

	private EventLoop loop;

	private HttpServer server;

	private InetSocketAddress address;

	private volatile HttpHandler handler = this.exchanges::add;

	@BeforeEach
	void startServer() throws Exception {
		this.loop = new EventLoop(this.failures::add);
		ServerSocketChannel socket = this.loop.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.address = (InetSocketAddress) socket.getLocalAddress();
		socket.close();
		this.server = HttpServer.start(this.loop, this.address, () -> LIMITS,
				(exchange) -> this.handler.handle(exchange), this.memory);
		this.server.onBodyRefused((target, headers, bytes) -> this.refused.add(bytes));
		LoopThread.start(this.loop);
	}

	@AfterEach
	void stopServer() {
		this.loop.stop();
	}

	@Test
	void shouldRefuseABodyThatDoesNotFitBeforeItIsSent() throws Exception {
		try (Socket first = connect(); Socket second = connect(); Socket small = connect()) {
			upload(first, 2 * MEBIBYTE);
			HttpExchange exchange = this.exchanges.take();
			assertThat(exchange.request().body()).hasSize(2 * MEBIBYTE);
			second.getOutputStream().write(head("Content-Length: " + 2 * MEBIBYTE));
			assertThat(readAll(second)).startsWith("HTTP/1.1 503").contains("Retry-After: 1");
			assertThat(this.refused).containsExactly(2L * MEBIBYTE);
			upload(small, 1000);
			assertThat(this.exchanges.take().request().body()).hasSize(1000);
		}
	}

	@Test
	void shouldAcceptTheNextBodyOnceTheFirstIsAnsweredOrAbandoned() throws Exception {
		for (int i = 0; i < 6; i++) {
			try (Socket socket = connect()) {
				upload(socket, 2 * MEBIBYTE);
				HttpExchange exchange = this.exchanges.take();
				if (i % 2 == 0) {
					this.loop.post(() -> exchange.respond(HttpResponse.empty(200)));
					assertThat(socket.getInputStream().read()).isEqualTo('H');
				}
			}
			awaitReleased();
		}
	}

	@Test
	void shouldRefuseABodyOfUnknownLengthOnceItDoesNotFit() throws Exception {
		try (Socket socket = connect()) {
			OutputStream output = socket.getOutputStream();
			output.write(head("Transfer-Encoding: chunked"));
			byte[] chunk = new byte[MEBIBYTE];
			output.write("100000\r\n".getBytes(StandardCharsets.US_ASCII));
			output.write(chunk);
			output.write("\r\n100000\r\n".getBytes(StandardCharsets.US_ASCII));
			output.write(chunk);
			assertThat(readAll(socket)).startsWith("HTTP/1.1 503");
			assertThat(this.exchanges).isEmpty();
			awaitReleased();
		}
	}

	/**
	 * Guards against many callers that each send further requests before the response to
	 * their first one, which exhausts the memory.
	 */
	@Test
	void shouldCloseConnectionsWhosePipelinedRequestsDoNotFit() throws Exception {
		List<Socket> callers = new ArrayList<>();
		for (int i = 0; i < PIPELINING_CALLERS; i++) {
			Socket caller = connect();
			callers.add(caller);
			upload(caller, 10);
			this.exchanges.take();
			caller.getOutputStream().write(new byte[PIPELINED_BYTES]);
		}
		while (LoopThread.query(this.loop, this.server::connections) * PIPELINED_BYTES > 4 * MEBIBYTE) {
			Thread.sleep(5);
		}
		try (Socket sound = connect()) {
			upload(sound, 1000);
			assertThat(this.exchanges.take().request().body()).hasSize(1000);
		}
		for (Socket caller : callers) {
			caller.close();
		}
		awaitReleased();
	}

	/** Guards against an event loop that ends in silence when memory runs out. */
	@Test
	void shouldContinueAfterMemoryRanOutForOneRequest() throws Exception {
		this.handler = (exchange) -> {
			throw new OutOfMemoryError("test");
		};
		try (Socket failing = connect()) {
			upload(failing, 10);
			assertThat(readAll(failing)).isEmpty();
		}
		assertThat(this.failures).hasSize(1).first().isInstanceOf(OutOfMemoryError.class);
		this.handler = (exchange) -> exchange.respond(HttpResponse.empty(200));
		try (Socket socket = connect()) {
			upload(socket, 10);
			assertThat(socket.getInputStream().read()).isEqualTo('H');
		}
	}

	/** Guards against a caller that waits for an answer which never comes. */
	@Test
	void shouldAnswerARequestWhoseHandlerFails() throws Exception {
		this.handler = (exchange) -> {
			throw new IllegalStateException("test");
		};
		try (Socket socket = connect()) {
			socket.setSoTimeout(2000);
			upload(socket, 10);
			assertThat(readAll(socket)).startsWith("HTTP/1.1 500").contains("Connection: close");
		}
		// The failure is reported after the response is sent.
		while (this.failures.isEmpty()) {
			Thread.sleep(5);
		}
		assertThat(this.failures).hasSize(1).first().isInstanceOf(IllegalStateException.class);
		awaitReleased();
	}

	private void awaitReleased() throws Exception {
		long reserved = -1;
		while (reserved != 0) {
			reserved = LoopThread.query(this.loop, this.memory::reservedBytes);
		}
	}

	private Socket connect() throws IOException {
		return new Socket(this.address.getAddress(), this.address.getPort());
	}

	private static void upload(Socket socket, int bytes) throws IOException {
		socket.getOutputStream().write(head("Content-Length: " + bytes));
		socket.getOutputStream().write(new byte[bytes]);
	}

	private static byte[] head(String header) {
		return ("POST / HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
	}

	private static String readAll(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
	}

}

package org.redwingramp.node.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that have arrived when a planned stop begins, and are then cut
 * off without a response.
 */
@Timeout(30)
class PlannedStopTests {

	private static final HttpLimits LIMITS = new HttpLimits(16_384, 65_536, 3_000_000_000L, 15_000_000_000L);

	private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

	private LoopbackServer server;

	@BeforeEach
	void startServer() throws IOException {
		this.server = new LoopbackServer(LIMITS);
	}

	@AfterEach
	void stopServer() {
		this.server.close();
	}

	@Test
	void shouldAnswerRequestThatArrivedOnAKeptConnectionButWasNotReadYet() throws Exception {
		try (Socket caller = connect()) {
			send(caller);
			assertThat(response(caller)).isEqualTo("HTTP/1.1 200");
			stopWhileBusy(() -> send(caller));
			assertThat(response(caller)).isEqualTo("HTTP/1.1 200");
		}
	}

	@Test
	void shouldAnswerRequestOnAConnectionThatWasJustAccepted() throws Exception {
		try (Socket caller = connect()) {
			stopWhileBusy(() -> {
			});
			send(caller);
			assertThat(response(caller)).isEqualTo("HTTP/1.1 200");
		}
	}

	@Test
	void shouldCloseIdleConnections() throws Exception {
		try (Socket caller = connect()) {
			send(caller);
			response(caller);
			stopWhileBusy(() -> {
			});
			assertThat(caller.getInputStream().read()).isNegative();
		}
	}

	// Begins the stop in an iteration of the event loop during which the action runs, so
	// that the loop can't read what the action sends before the stop.
	private void stopWhileBusy(IoAction action) throws Exception {
		CountDownLatch busy = new CountDownLatch(1);
		CountDownLatch sent = new CountDownLatch(1);
		CountDownLatch stopped = new CountDownLatch(1);
		this.server.loop.post(() -> {
			busy.countDown();
			awaitUninterrupted(sent);
			this.server.server.drain();
			stopped.countDown();
		});
		busy.await();
		action.run();
		// Loopback delivers at once; the pause makes the order certain.
		Thread.sleep(100);
		sent.countDown();
		stopped.await();
	}

	private static void awaitUninterrupted(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException("interrupted while the loop was kept busy", ex);
		}
	}

	private Socket connect() throws Exception {
		Socket caller = this.server.connect();
		for (int i = 0; i < 100 && this.server.server.connections() == 0; i++) {
			Thread.sleep(10);
		}
		return caller;
	}

	private static void send(Socket caller) throws IOException {
		caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
	}

	// Returns the start of the status line, and reads the rest of the response.
	private static String response(Socket caller) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = caller.getInputStream().read();
			if (next < 0) {
				break;
			}
			head.append((char) next);
		}
		return head.substring(0, Math.min(head.length(), "HTTP/1.1 200".length()));
	}

	/** An action that may fail with an I/O error. */
	private interface IoAction {

		void run() throws IOException;

	}

}

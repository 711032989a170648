package org.redwingramp.node.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.redwingramp.node.loop.EventLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against targets that send bytes without end, in a head or in a body, until the
 * caller closes: they must not fill the memory, hold up other calls, or pass for an
 * answer.
 */
@Timeout(60)
class EndlessAnswerTests {

	private static final long TIMEOUT_NANOS = 3_000_000_000L;

	/** A head of this size is no answer; the call must not last until its timeout. */
	private static final long HEAD_MILLIS = 1500;

	private static final int PARALLEL = 40;

	/** Half the heap of an entry instance. */
	private static final long MAX_HELD_BYTES = 48L * 1024 * 1024;

	private final AnswerMemory memory = AnswerMemory.forAnswers();

	private EventLoop loop;

	@BeforeEach
	void startLoop() throws IOException {
		this.loop = new EventLoop((failure) -> failure.printStackTrace());
		Thread thread = new Thread(this::run, "loop");
		thread.setDaemon(true);
		thread.start();
	}

	@AfterEach
	void stopLoop() {
		this.loop.stop();
	}

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.MATCH_ALL, names = "HEAD_.*")
	void shouldGiveUpAnEndlessHeadSoon(Endless head) throws Exception {
		try (EndlessTarget target = new EndlessTarget(head.start, head.repeated)) {
			long began = System.nanoTime();
			Object outcome = call(target).get();
			assertThat(outcome).isInstanceOf(CallFailure.class);
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)).isLessThan(HEAD_MILLIS);
			target.awaitClosed();
		}
	}

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.MATCH_ALL, names = "BODY_.*")
	void shouldGiveUpAnEndlessBodyByItsTimeout(Endless body) throws Exception {
		try (EndlessTarget target = new EndlessTarget(body.start, body.repeated)) {
			assertThat(call(target).get()).isInstanceOf(CallFailure.class);
			target.awaitClosed();
		}
	}

	/** Guards against endless bodies that together take more memory than there is. */
	@Test
	void shouldHoldLittleOfManyEndlessBodiesAtOnce() throws Exception {
		try (EndlessTarget target = new EndlessTarget(Endless.BODY_UNFRAMED.start, Endless.BODY_UNFRAMED.repeated)) {
			List<CompletableFuture<Object>> calls = new ArrayList<>();
			for (int i = 0; i < PARALLEL; i++) {
				calls.add(call(target));
			}
			long most = 0;
			while (!calls.stream().allMatch(CompletableFuture::isDone)) {
				most = Math.max(most, held());
				Thread.sleep(5);
			}
			assertThat(calls).allSatisfy((call) -> assertThat(call.get()).isInstanceOf(CallFailure.class));
			assertThat(most).isLessThan(MAX_HELD_BYTES);
			assertThat(held()).isZero();
		}
	}

	/** Guards against a whole answer that is refused beside endless ones. */
	@Test
	void shouldStillTakeAWholeAnswerBesideEndlessOnes() throws Exception {
		String whole = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
		try (EndlessTarget endless = new EndlessTarget(Endless.BODY_UNFRAMED.start, Endless.BODY_UNFRAMED.repeated);
				EndlessTarget target = new EndlessTarget(whole, "x")) {
			for (int i = 0; i < PARALLEL; i++) {
				call(endless);
			}
			Thread.sleep(500);
			Object outcome = call(target).get();
			assertThat(outcome).isInstanceOfSatisfying(HttpResponse.class,
					(response) -> assertThat(response.body()).hasSize(200_000));
		}
	}

	private long held() throws Exception {
		CompletableFuture<Long> bytes = new CompletableFuture<>();
		this.loop.post(() -> bytes.complete(this.memory.heldBytes()));
		return bytes.get();
	}

	private CompletableFuture<Object> call(EndlessTarget target) {
		CompletableFuture<Object> outcome = new CompletableFuture<>();
		HttpRequest request = new HttpRequest("GET", "/", List.of(new Header("Host", "h")), new byte[0]);
		this.loop.post(() -> new TargetConnections(this.loop, target.address(), this.memory).send(request,
				TIMEOUT_NANOS, false, new ClientListener() {

					@Override
					public boolean accepts(HttpResponse response) {
						return response.status() != 299;
					}

					@Override
					public void answered(HttpResponse response) {
						outcome.complete(response);
					}

					@Override
					public void failed(CallFailure failure) {
						outcome.complete(failure);
					}

				}));
		return outcome;
	}

	private void run() {
		try {
			this.loop.run();
		}
		catch (IOException ex) {
			throw new IllegalStateException("the loop failed", ex);
		}
	}

	/** Answers that never end, in their head or in their body. */
	enum Endless {

		HEAD_NO_PROTOCOL("", "garbage "), HEAD_STATUS_LINE("HTTP/1.1 200 ", "O"),
		HEAD_FIELD("HTTP/1.1 200 OK\r\nA: ", "b"), HEAD_FIELDS("HTTP/1.1 200 OK\r\n", "Name: value\r\n"),
		HEAD_EMPTY_LINES("", "\r\n"), HEAD_INTERIM("", "HTTP/1.1 102 Processing\r\n\r\n"),
		HEAD_ANSWERS_TO_OTHERS("", "HTTP/1.1 299 Other\r\nContent-Length: 1\r\n\r\nx"),
		HEAD_TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"),
		HEAD_CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x=y;"),
		HEAD_CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
		BODY_UNFRAMED("HTTP/1.1 200 OK\r\n\r\n", "x"),
		BODY_CHUNKED("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
		BODY_DECLARED("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "x");

		final String start;

		final String repeated;

		Endless(String start, String repeated) {
			this.start = start;
			this.repeated = repeated;
		}

	}

	/**
	 * Sends the same text again and again on each connection until it is closed. Thread
	 * safe.
	 */
	private static final class EndlessTarget implements AutoCloseable {

		private static final int COPIES = 20_000;

		private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());

		private final AtomicInteger open = new AtomicInteger();

		private final byte[] start;

		private final byte[] repeated;

		EndlessTarget(String start, String repeated) throws IOException {
			this.start = start.getBytes(StandardCharsets.US_ASCII);
			this.repeated = repeated.repeat(COPIES).getBytes(StandardCharsets.US_ASCII);
			thread(this::accept);
		}

		InetSocketAddress address() {
			return (InetSocketAddress) this.server.getLocalSocketAddress();
		}

		void awaitClosed() throws InterruptedException {
			while (this.open.get() > 0) {
				Thread.sleep(5);
			}
		}

		@Override
		public void close() throws IOException {
			this.server.close();
		}

		private void accept() {
			try {
				while (true) {
					Socket socket = this.server.accept();
					this.open.incrementAndGet();
					thread(() -> send(socket));
				}
			}
			catch (IOException ex) {
				// Closed.
			}
		}

		private void send(Socket socket) {
			try (socket; OutputStream out = socket.getOutputStream()) {
				out.write(this.start);
				while (true) {
					out.write(this.repeated);
				}
			}
			catch (IOException ex) {
				this.open.decrementAndGet();
			}
		}

		private static void thread(Runnable task) {
			Thread thread = new Thread(task, "endless target");
			thread.setDaemon(true);
			thread.start();
		}

	}

}

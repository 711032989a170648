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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.redwingramp.node.loop.LoopExtension;
import org.redwingramp.node.loop.LoopThread;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against targets that send an endless response head or body until the caller
 * closes the connection. Such a response must not exhaust the memory, delay other calls,
 * or count as a valid response.
 */
@Timeout(60)
class EndlessResponseTests {

	private static final long CALL_TIMEOUT_NANOS = 3_000_000_000L;

	/**
	 * An endless head exceeds the size limit, so the call must fail before its timeout.
	 */
	private static final long MAX_HEAD_FAILURE_MILLIS = 1500;

	private static final int PARALLEL_CALLS = 40;

	/** More than the event loop reads at once. */
	private static final int SURPLUS_BYTES = 128 * 1024;

	private static final long LOOP_PAUSE_MILLIS = 200;

	private static final int MANY_PARALLEL_CALLS = 400;

	/** Less than the limit up to which a body counts as small. */
	private static final int SMALL_BODY_BYTES = 240 * 1024;

	private static final int SMALL_INTERNAL_BODY_BYTES = 60 * 1024;

	/** Half of the heap of an entry instance. */
	private static final long MAX_INCOMPLETE_RESPONSE_BYTES = 48L * 1024 * 1024;

	/** A sixth of the heap of a control replica. */
	private static final long MAX_INTERNAL_RESPONSE_BYTES = 16L * 1024 * 1024;

	private BodyMemoryLimit memory = BodyMemoryLimit.forTargetResponses();

	@RegisterExtension
	final LoopExtension loops = new LoopExtension();

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.MATCH_ALL, names = "HEAD_.*")
	void shouldFailCallWithEndlessHeadBeforeItsTimeout(EndlessResponse head) throws Exception {
		try (EndlessTarget target = new EndlessTarget(head.start, head.repeated)) {
			long startNanos = System.nanoTime();
			Object outcome = call(target).get();
			assertThat(outcome).isInstanceOf(CallFailure.class);
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
				.isLessThan(MAX_HEAD_FAILURE_MILLIS);
			target.awaitClosed();
		}
	}

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.MATCH_ALL, names = "BODY_.*")
	void shouldFailCallWithEndlessBodyByItsTimeout(EndlessResponse body) throws Exception {
		try (EndlessTarget target = new EndlessTarget(body.start, body.repeated)) {
			assertThat(call(target).get()).isInstanceOf(CallFailure.class);
			target.awaitClosed();
		}
	}

	/** Guards against reusing a connection on which surplus bytes go on arriving. */
	@Test
	void shouldAnswerAndCloseTheConnectionIfBytesFollowTheResponse() throws Exception {
		try (EndlessTarget target = new EndlessTarget("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", "x")) {
			assertThat(call(target).get()).isInstanceOfSatisfying(HttpResponse.class,
					(response) -> assertThat(response.body()).hasSize(1));
			target.awaitClosed();
		}
	}

	/**
	 * Guards against taking a complete response for a malformed one because many bytes
	 * that follow it are received together with its end.
	 */
	@Test
	void shouldNotCountSurplusBytesAsPartOfTheResponse() throws Exception {
		try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			CompletableFuture<Object> outcome = call((InetSocketAddress) target.getLocalSocketAddress());
			try (Socket socket = target.accept()) {
				socket.getOutputStream()
					.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				Thread.sleep(LOOP_PAUSE_MILLIS);
				CountDownLatch sent = new CountDownLatch(1);
				this.loops.loop().post(() -> awaitUninterrupted(sent));
				socket.getOutputStream().write(new byte[SURPLUS_BYTES]);
				// Loopback delivers at once; the pause makes the order certain.
				Thread.sleep(LOOP_PAUSE_MILLIS);
				sent.countDown();
				assertThat(outcome.get()).isInstanceOfSatisfying(HttpResponse.class,
						(response) -> assertThat(response.body()).hasSize(1));
			}
		}
	}

	/** Guards against many endless bodies that exhaust the memory together. */
	@Test
	void shouldLimitMemoryOfManyEndlessBodies() throws Exception {
		assertThat(maxReservedBytes(PARALLEL_CALLS, Long.MAX_VALUE)).isLessThan(MAX_INCOMPLETE_RESPONSE_BYTES);
	}

	/**
	 * Guards against hundreds of slow endless bodies that exhaust the memory although
	 * each of them is small.
	 */
	@Test
	void shouldLimitMemoryOfHundredsOfEndlessBodies() throws Exception {
		assertThat(maxReservedBytes(MANY_PARALLEL_CALLS, SMALL_BODY_BYTES)).isLessThan(MAX_INCOMPLETE_RESPONSE_BYTES);
	}

	/** Guards against endless responses to the calls of control replicas. */
	@Test
	void shouldLimitMemoryOfHundredsOfEndlessResponsesToInternalCalls() throws Exception {
		this.memory = BodyMemoryLimit.forInternalCalls();
		assertThat(maxReservedBytes(MANY_PARALLEL_CALLS, SMALL_INTERNAL_BODY_BYTES))
			.isLessThan(MAX_INTERNAL_RESPONSE_BYTES);
	}

	/** Guards against rejecting a valid response while endless ones use up the limit. */
	@Test
	void shouldAcceptCompleteResponseWhileOthersAreEndless() throws Exception {
		String completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
		try (EndlessTarget endless = new EndlessTarget(EndlessResponse.BODY_UNFRAMED.start,
				EndlessResponse.BODY_UNFRAMED.repeated);
				EndlessTarget target = new EndlessTarget(completeResponse, "x")) {
			for (int i = 0; i < PARALLEL_CALLS; i++) {
				call(endless);
			}
			Thread.sleep(500);
			Object outcome = call(target).get();
			assertThat(outcome).isInstanceOfSatisfying(HttpResponse.class,
					(response) -> assertThat(response.body()).hasSize(200_000));
		}
	}

	// Makes calls at once that all receive an endless body, and returns the most memory
	// that was reserved for the responses.
	private long maxReservedBytes(int parallelCalls, long fastBytes) throws Exception {
		try (EndlessTarget target = new EndlessTarget(EndlessResponse.BODY_UNFRAMED.start,
				EndlessResponse.BODY_UNFRAMED.repeated, fastBytes)) {
			List<CompletableFuture<Object>> calls = new ArrayList<>();
			for (int i = 0; i < parallelCalls; i++) {
				calls.add(call(target));
			}
			long maxReservedBytes = 0;
			while (!calls.stream().allMatch(CompletableFuture::isDone)) {
				maxReservedBytes = Math.max(maxReservedBytes, reservedBytes());
				Thread.sleep(1);
			}
			assertThat(calls).allSatisfy((call) -> assertThat(call.get()).isInstanceOf(CallFailure.class));
			assertThat(reservedBytes()).isZero();
			return maxReservedBytes;
		}
	}

	private long reservedBytes() throws Exception {
		return LoopThread.query(this.loops.loop(), this.memory::reservedBytes);
	}

	private static void awaitUninterrupted(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException("interrupted while the loop was kept busy", ex);
		}
	}

	private CompletableFuture<Object> call(EndlessTarget target) {
		return call(target.address());
	}

	private CompletableFuture<Object> call(InetSocketAddress target) {
		OutcomeRecorder recorder = new OutcomeRecorder() {

			@Override
			public ResponseMatch match(HttpResponse response) {
				// Status 299 marks the response to another request.
				return (response.status() != 299) ? ResponseMatch.OWN : ResponseMatch.OTHER;
			}

		};
		HttpRequest request = new HttpRequest("GET", "/", List.of(new Header("Host", "h")), new byte[0]);
		this.loops.loop()
			.post(() -> new TargetConnections(this.loops.loop(), target, this.memory).send(request, CALL_TIMEOUT_NANOS,
					recorder));
		return recorder.outcome;
	}

	/**
	 * Responses that never end. Those named HEAD_ repeat bytes outside the content: in
	 * the head, the trailers, the chunk framing or responses before the expected one.
	 * Those named BODY_ repeat content.
	 */
	enum EndlessResponse {

		HEAD_NO_PROTOCOL("", "garbage "), HEAD_STATUS_LINE("HTTP/1.1 200 ", "O"),
		HEAD_FIELD("HTTP/1.1 200 OK\r\nA: ", "b"), HEAD_FIELDS("HTTP/1.1 200 OK\r\n", "Name: value\r\n"),
		HEAD_EMPTY_LINES("", "\r\n"), HEAD_INTERIM("", "HTTP/1.1 102 Processing\r\n\r\n"),
		HEAD_RESPONSES_TO_OTHER_REQUESTS("", "HTTP/1.1 299 Other\r\nContent-Length: 1\r\n\r\nx"),
		HEAD_TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"),
		HEAD_CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x=y;"),
		HEAD_CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
		HEAD_LENGTH_OVERFLOW("HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\n", "x"),
		HEAD_CHUNK_SIZE_OVERFLOW("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "f"),
		BODY_UNFRAMED("HTTP/1.1 200 OK\r\n\r\n", "x"),
		BODY_CHUNKED("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
		BODY_DECLARED("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "x");

		final String start;

		final String repeated;

		EndlessResponse(String start, String repeated) {
			this.start = start;
			this.repeated = repeated;
		}

	}

	/**
	 * A target that sends the same text repeatedly on each connection until the
	 * connection is closed, after a number of bytes only slowly. Thread safe.
	 */
	private static final class EndlessTarget implements AutoCloseable {

		private static final int REPETITIONS = 20_000;

		private static final long SLOW_INTERVAL_MILLIS = 100;

		private final ServerSocket server = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());

		private final AtomicInteger open = new AtomicInteger();

		private final byte[] start;

		private final byte[] repeated;

		private final long fastBytes;

		EndlessTarget(String start, String repeated) throws IOException {
			this(start, repeated, Long.MAX_VALUE);
		}

		EndlessTarget(String start, String repeated, long fastBytes) throws IOException {
			this.fastBytes = fastBytes;
			this.start = start.getBytes(StandardCharsets.US_ASCII);
			this.repeated = repeated.repeat(REPETITIONS).getBytes(StandardCharsets.US_ASCII);
			startThread(this::accept);
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
					startThread(() -> send(socket));
				}
			}
			catch (IOException ex) {
				// The server socket was closed.
			}
		}

		private void send(Socket socket) {
			try (socket; OutputStream out = socket.getOutputStream()) {
				out.write(this.start);
				for (long sent = 0; sent + this.repeated.length <= this.fastBytes; sent += this.repeated.length) {
					out.write(this.repeated);
				}
				while (true) {
					out.write(this.repeated[0]);
					Thread.sleep(SLOW_INTERVAL_MILLIS);
				}
			}
			catch (IOException | InterruptedException ex) {
				this.open.decrementAndGet();
			}
		}

		private static void startThread(Runnable task) {
			Thread thread = new Thread(task, "endless target");
			thread.setDaemon(true);
			thread.start();
		}

	}

}

package org.redwingramp.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.node.loop.LoopExtension;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a response that its target stopped to send, at whatever byte, and that
 * counts as a whole one with a short or empty body.
 */
@Timeout(60)
class TruncatedResponseTests {

	private static final long CALL_TIMEOUT_NANOS = 3_000_000_000L;

	@RegisterExtension
	final LoopExtension loops = new LoopExtension();

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: 12\r\n\r\nhello, world",
			"HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nSigned: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 204 No Content\r\nSigned: 1\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" })
	void shouldFailForEachProperPrefixOfAFramedResponse(String response) throws Exception {
		assertThat(answeredPrefixes(response, response.length())).isEmpty();
	}

	// The end of the connection is the end of the body, so the head alone is a response.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nSigned: 1\r\nConnection: close\r\n\r\n",
			"HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n", "HTTP/1.0 200 OK\r\nSigned: 1\r\n\r\n",
			"HTTP/1.1 200 OK\nSigned: 1\nConnection: close\n\n" })
	void shouldFailForEachProperPrefixOfTheHeadOfAnUnframedResponse(String head) throws Exception {
		assertThat(answeredPrefixes(head, head.length())).isEmpty();
	}

	// Returns the prefixes that count as a response.
	private List<String> answeredPrefixes(String response, int length) throws Exception {
		List<String> prefixes = IntStream.range(0, length).mapToObj((end) -> response.substring(0, end)).toList();
		List<String> answered = new ArrayList<>();
		for (String prefix : prefixes) {
			if (call(prefix) instanceof HttpResponse) {
				answered.add(prefix);
			}
		}
		return answered;
	}

	private Object call(String prefix) throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Thread target = new Thread(() -> serve(server, prefix), "target");
			target.setDaemon(true);
			target.start();
			OutcomeRecorder recorder = new OutcomeRecorder();
			HttpRequest request = new HttpRequest("GET", "/", List.of(new Header("Host", "h")), new byte[0]);
			InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
			this.loops.loop()
				.post(() -> new TargetConnections(this.loops.loop(), address, BodyMemoryLimit.forTargetResponses())
					.send(request, CALL_TIMEOUT_NANOS, recorder));
			return recorder.outcome.get();
		}
	}

	private static void serve(ServerSocket server, String response) {
		try (Socket socket = server.accept()) {
			byte[] request = new byte[1000];
			int read = socket.getInputStream().read(request);
			assertThat(read).isPositive();
			socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
			socket.shutdownOutput();
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

}

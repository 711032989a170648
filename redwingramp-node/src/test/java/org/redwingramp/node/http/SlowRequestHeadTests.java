package org.redwingramp.node.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers that send the head of a request byte by byte and so occupy a
 * connection for as long as they like.
 */
@Timeout(30)
class SlowRequestHeadTests {

	private static final HttpLimits LIMITS = new HttpLimits(16_384, 65_536, 500_000_000L, 15_000_000_000L);

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
	void shouldRejectRequestWhoseHeadArrivesByteByByte() throws Exception {
		try (Socket caller = this.server.connect()) {
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

}

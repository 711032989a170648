package org.redwingramp.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against calls that reach their target after their sender was killed.
 */
@Timeout(20)
class KilledSenderTests {

	private static final int RECEIVE_BUFFER_BYTES = 4096;

	/** Exceeds the time in which the sender passes the request to its kernel. */
	private static final int MAX_WRITE_MILLIS = 500;

	/**
	 * Guards against a grant that arrives although the process which sent it was killed,
	 * because the operating system goes on sending what the target hasn't received.
	 */
	@Test
	void shouldSendNothingMoreOnceTheProcessIsKilled() throws Exception {
		try (ServerSocket server = new ServerSocket()) {
			server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			Process sender = startSender(server.getLocalPort());
			try (Socket target = server.accept()) {
				Thread.sleep(MAX_WRITE_MILLIS);
				sender.destroyForcibly().waitFor();
				assertThat(countBytes(target.getInputStream())).isPositive().isLessThan(LargeRequestSender.BODY_BYTES);
			}
			finally {
				sender.destroyForcibly();
			}
		}
	}

	private static Process startSender(int port) throws IOException {
		return new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), LargeRequestSender.class.getName(), Integer.toString(port))
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.INHERIT)
			.start();
	}

	// Returns how many bytes arrive until the connection ends or is reset.
	private static int countBytes(InputStream input) {
		byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
		int total = 0;
		try {
			for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
				total += count;
			}
		}
		catch (IOException ex) {
			// The reset of the connection.
			return total;
		}
		return total;
	}

}

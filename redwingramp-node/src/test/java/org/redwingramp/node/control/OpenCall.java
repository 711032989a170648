package org.redwingramp.node.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A call to a replica whose connection is open before the call is sent, so that the call
 * reaches the replica without the delays of a new connection or thread. Not thread safe.
 */
final class OpenCall implements AutoCloseable {

	private static final String END_OF_HEAD = "\r\n\r\n";

	private final Socket socket = new Socket();

	OpenCall(InetSocketAddress address, int timeoutMillis) throws IOException {
		this.socket.setTcpNoDelay(true);
		this.socket.setSoTimeout(timeoutMillis);
		this.socket.connect(address, timeoutMillis);
	}

	void send(String text) throws IOException {
		String request = "POST /call HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + text.length()
				+ END_OF_HEAD + text;
		this.socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
	}

	// Waits for the response and returns its text.
	String answer() throws IOException {
		String response = new String(this.socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		return response.substring(response.indexOf(END_OF_HEAD) + END_OF_HEAD.length());
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}

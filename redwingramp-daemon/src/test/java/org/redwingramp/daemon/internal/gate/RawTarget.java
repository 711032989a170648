package org.redwingramp.daemon.internal.gate;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A target on a plain socket: replies to each request with the given bytes and then
 * closes the connection or keeps it open.
 */
final class RawTarget implements AutoCloseable {

	private final ServerSocket socket;

	private final String response;

	private final boolean keepOpen;

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger requests = new AtomicInteger();

	RawTarget(String response, boolean keepOpen) throws IOException {
		this.response = response;
		this.keepOpen = keepOpen;
		this.socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.socket.getLocalPort();
	}

	int connections() {
		return this.connections.get();
	}

	int requests() {
		return this.requests.get();
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.socket.accept();
				this.connections.incrementAndGet();
				start(() -> serve(connection));
			}
		}
		catch (IOException ex) {
			// The test closed the server socket.
			return;
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			while (readHead(connection.getInputStream())) {
				this.requests.incrementAndGet();
				connection.getOutputStream().write(this.response.getBytes(StandardCharsets.ISO_8859_1));
				connection.getOutputStream().flush();
				if (!this.keepOpen) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
			return;
		}
	}

	private static boolean readHead(InputStream input) throws IOException {
		int matched = 0;
		while (matched < 4) {
			int next = input.read();
			if (next < 0) {
				return false;
			}
			matched = (next == "\r\n\r\n".charAt(matched)) ? matched + 1 : ((next == '\r') ? 1 : 0);
		}
		return true;
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "raw-target");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}

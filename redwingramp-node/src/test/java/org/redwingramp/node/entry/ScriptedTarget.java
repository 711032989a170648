package org.redwingramp.node.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;

import org.redwingramp.node.TargetThreads;

/**
 * A target that handles each request with the next step of a script: it sends a response,
 * sends none, or closes the connection. Thread safe.
 */
public final class ScriptedTarget implements AutoCloseable {

	/** Closes the connection without a response. */
	static final String CLOSE = "close";

	/** Closes the connection without a response after some seconds. */
	static final String CLOSE_LATE = "close-late";

	/** Reads the request and sends no response. */
	static final String NO_RESPONSE = "no-response";

	private static final long LATE_MILLIS = 2600;

	final List<String> requests = new CopyOnWriteArrayList<>();

	// Counted down when the peer closes its connection.
	final CountDownLatch connectionEnded = new CountDownLatch(1);

	private final BlockingQueue<String> script = new LinkedBlockingQueue<>();

	private final ServerSocket server;

	ScriptedTarget(String... steps) throws IOException {
		this.script.addAll(List.of(steps));
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		TargetThreads.prepare();
		TargetThreads.start(this::accept);
	}

	static String response(String id, String body) {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: 1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	// Returns a response with status 421, which states that the request was not run.
	static String misdirected() {
		return "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	void awaitRequest() throws InterruptedException {
		while (this.requests.isEmpty()) {
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
				TargetThreads.start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			String head = readHead(socket.getInputStream());
			while (!head.isEmpty()) {
				this.requests.add(head);
				String step = this.script.poll();
				if (CLOSE_LATE.equals(step)) {
					Thread.sleep(LATE_MILLIS);
				}
				if (step == null || step.equals(CLOSE) || step.equals(CLOSE_LATE)) {
					return;
				}
				if (!step.equals(NO_RESPONSE)) {
					socket.getOutputStream().write(step.getBytes(StandardCharsets.US_ASCII));
				}
				head = readHead(socket.getInputStream());
			}
			this.connectionEnded.countDown();
		}
		catch (IOException | InterruptedException ex) {
			this.connectionEnded.countDown();
		}
	}

	/**
	 * Reads the request line and headers of the next request on a connection.
	 * @param input the bytes of the connection
	 * @return the head, or an empty string if the peer closed the connection
	 * @throws IOException if the connection fails
	 */
	public static String readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				return "";
			}
			head.append((char) next);
		}
		return head.toString();
	}

}

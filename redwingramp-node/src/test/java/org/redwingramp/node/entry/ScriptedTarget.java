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

/**
 * A target that answers each request with the next step of a script. Thread safe.
 */
final class ScriptedTarget implements AutoCloseable {

	/** Closes the connection without an answer. */
	static final String CLOSE = "close";

	/** Never answers. */
	static final String SILENCE = "silence";

	final List<String> requests = new CopyOnWriteArrayList<>();

	final CountDownLatch callerGone = new CountDownLatch(1);

	private final BlockingQueue<String> script = new LinkedBlockingQueue<>();

	private final ServerSocket server;

	ScriptedTarget(String... steps) throws IOException {
		this.script.addAll(List.of(steps));
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		start(this::accept);
	}

	static String answer(String id, String body) {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: 1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	static String notHere() {
		return "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			String head = read(socket.getInputStream());
			while (!head.isEmpty()) {
				this.requests.add(head);
				String step = this.script.poll();
				if (step == null || step.equals(CLOSE)) {
					return;
				}
				if (!step.equals(SILENCE)) {
					socket.getOutputStream().write(step.getBytes(StandardCharsets.US_ASCII));
				}
				head = read(socket.getInputStream());
			}
			this.callerGone.countDown();
		}
		catch (IOException ex) {
			this.callerGone.countDown();
		}
	}

	private static String read(InputStream input) throws IOException {
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

	private static void start(Runnable action) {
		Thread thread = new Thread(action, "target");
		thread.setDaemon(true);
		thread.start();
	}

}

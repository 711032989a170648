package org.redwingramp.node.control;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.redwingramp.node.TargetThreads;
import org.redwingramp.node.entry.ScriptedTarget;

/**
 * A target that confirms each grant and release that a {@link TextDialect} writes, and
 * records their fences. Thread safe.
 */
final class KeyedTarget implements AutoCloseable {

	/** The fences of the grants that arrived before the first release. */
	final List<Long> grantsBeforeRelease = new CopyOnWriteArrayList<>();

	/** The fences of the releases. */
	final List<Long> releases = new CopyOnWriteArrayList<>();

	private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

	KeyedTarget() throws IOException {
		TargetThreads.prepare();
		TargetThreads.start(this::accept);
	}

	int port() {
		return this.server.getLocalPort();
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
			String head = ScriptedTarget.readHead(socket.getInputStream());
			while (!head.isEmpty()) {
				String response = "HTTP/1.1 200 OK\r\n" + process(head) + "Content-Length: 0\r\n\r\n";
				socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
				head = ScriptedTarget.readHead(socket.getInputStream());
			}
		}
		catch (IOException ex) {
			// The caller has closed the connection or the test has ended.
		}
	}

	// Returns the header of the response.
	private String process(String head) {
		long fence = head.lines()
			.filter((line) -> line.startsWith(TextDialect.FENCE))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")))
			.sum();
		if (head.startsWith("POST /release")) {
			this.releases.add(fence);
			return "Handover: token-" + this.releases.size() + "\r\n";
		}
		if (this.releases.isEmpty()) {
			this.grantsBeforeRelease.add(fence);
		}
		return "";
	}

}

package org.redwingramp.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Passes bytes between links and a server, and can silently stop to do so on the
 * connections open at that moment, as a middlebox that lost their state. Thread safe.
 */
final class StallingProxy implements AutoCloseable {

	private final ServerSocket port;

	private final int server;

	private final Set<Socket> stalled = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean stallsNext = new AtomicBoolean();

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	StallingProxy(int server) throws IOException {
		this.server = server;
		this.port = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.port.getLocalPort();
	}

	/** Stops the next connection from its beginning. */
	void stallNext() {
		this.stallsNext.set(true);
	}

	/** Stops all connections that are open now; new ones work. */
	void stall() {
		this.stalled.addAll(this.open);
	}

	private void accept() {
		try {
			while (true) {
				Socket near = this.port.accept();
				Socket far = new Socket(InetAddress.getLoopbackAddress(), this.server);
				if (this.stallsNext.getAndSet(false)) {
					this.stalled.add(near);
					this.stalled.add(far);
				}
				start(() -> pass(near, far));
				start(() -> pass(far, near));
			}
		}
		catch (IOException ex) {
			// Closed.
		}
	}

	private void pass(Socket from, Socket to) {
		this.open.add(from);
		byte[] buffer = new byte[8192];
		try {
			InputStream input = from.getInputStream();
			int count = input.read(buffer);
			while (count >= 0) {
				if (!this.stalled.contains(from)) {
					to.getOutputStream().write(buffer, 0, count);
				}
				count = input.read(buffer);
			}
			if (!this.stalled.contains(from)) {
				to.close();
			}
		}
		catch (IOException ex) {
			// The connection has ended.
		}
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "stalling-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.port.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

}

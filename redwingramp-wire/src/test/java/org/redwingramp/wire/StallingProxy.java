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
 * A TCP proxy between links and a server that can stop forwarding data on open
 * connections without closing them, like a middlebox that has lost their state. Thread
 * safe.
 */
final class StallingProxy implements AutoCloseable {

	private final ServerSocket serverSocket;

	private final int serverPort;

	private final Set<Socket> stalledSockets = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean stallNextConnection = new AtomicBoolean();

	private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

	StallingProxy(int serverPort) throws IOException {
		this.serverPort = serverPort;
		this.serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.serverSocket.getLocalPort();
	}

	/** Makes the next connection forward no data from its start. */
	void stallNext() {
		this.stallNextConnection.set(true);
	}

	/** Stops forwarding on all open connections; new connections are not affected. */
	void stall() {
		this.stalledSockets.addAll(this.openSockets);
	}

	private void accept() {
		try {
			while (true) {
				Socket clientSide = this.serverSocket.accept();
				Socket serverSide = new Socket(InetAddress.getLoopbackAddress(), this.serverPort);
				if (this.stallNextConnection.getAndSet(false)) {
					this.stalledSockets.add(clientSide);
					this.stalledSockets.add(serverSide);
				}
				start(() -> forward(clientSide, serverSide));
				start(() -> forward(serverSide, clientSide));
			}
		}
		catch (IOException ex) {
			// The proxy was closed.
		}
	}

	private void forward(Socket from, Socket to) {
		this.openSockets.add(from);
		byte[] buffer = new byte[8192];
		try {
			InputStream input = from.getInputStream();
			int count = input.read(buffer);
			while (count >= 0) {
				if (!this.stalledSockets.contains(from)) {
					to.getOutputStream().write(buffer, 0, count);
				}
				count = input.read(buffer);
			}
			if (!this.stalledSockets.contains(from)) {
				to.close();
			}
		}
		catch (IOException ex) {
			// The connection was closed.
		}
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "stalling-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.serverSocket.close();
		for (Socket socket : this.openSockets) {
			socket.close();
		}
	}

}

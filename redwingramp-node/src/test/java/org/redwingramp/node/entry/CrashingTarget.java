package org.redwingramp.node.entry;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.redwingramp.core.support.ReservedPorts;
import org.redwingramp.node.TargetThreads;

/**
 * A target that crashes when it begins to run a request with {@code deadly} in its path:
 * all its connections break and its port is closed until {@link #restart()}. It delays
 * other responses, so that requests are in flight when it crashes. Thread safe.
 */
final class CrashingTarget implements AutoCloseable {

	private static final long RESPONSE_DELAY_MILLIS = 60;

	final List<String> crashes = new CopyOnWriteArrayList<>();

	private final ReservedPorts ports = ReservedPorts.reserve();

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private volatile ServerSocket server;

	CrashingTarget() throws IOException {
		this.server = listen();
		TargetThreads.prepare();
		TargetThreads.start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.ports.port(0);
	}

	boolean crashed() {
		return this.server.isClosed();
	}

	void restart() throws IOException {
		if (crashed()) {
			this.server = listen();
			TargetThreads.start(this::accept);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		this.ports.close();
	}

	private ServerSocket listen() throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(this.ports.address(0));
		return socket;
	}

	private void accept() {
		ServerSocket current = this.server;
		try {
			while (true) {
				Socket socket = current.accept();
				this.connections.add(socket);
				TargetThreads.start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The target crashed or the test has ended.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			String head = ScriptedTarget.readHead(socket.getInputStream());
			while (!head.isEmpty()) {
				if (head.contains("deadly")) {
					crash(head);
					return;
				}
				Thread.sleep(RESPONSE_DELAY_MILLIS);
				socket.getOutputStream()
					.write("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok"
						.getBytes(StandardCharsets.US_ASCII));
				head = ScriptedTarget.readHead(socket.getInputStream());
			}
		}
		catch (IOException | InterruptedException ex) {
			// The target crashed or the test has ended.
		}
		finally {
			this.connections.remove(socket);
		}
	}

	private void crash(String head) throws IOException {
		this.crashes.add(head);
		this.server.close();
		for (Socket connection : this.connections) {
			reset(connection);
		}
	}

	private static void reset(Socket connection) throws IOException {
		try {
			connection.setSoLinger(true, 0);
			connection.close();
		}
		catch (SocketException ex) {
			// The thread that served it may have closed it.
			if (!connection.isClosed()) {
				throw ex;
			}
		}
	}

}

package org.redwingramp.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

import org.redwingramp.node.entry.ScriptedTarget;

/**
 * A faulty target: on each connection, it writes its previous response once more where
 * the response to the next call is due. It answers calls with the steps of a script, over
 * all connections, and after a copy with a delay that lets the copy arrive first. Thread
 * safe.
 */
public final class RepeatingTarget implements AutoCloseable {

	private static final long RESPONSE_DELAY_MILLIS = 100;

	/** The head of each call in the order of their arrival. */
	public final List<String> calls = new CopyOnWriteArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	private final boolean repeats;

	private final BlockingQueue<String> script = new LinkedBlockingQueue<>();

	private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	/**
	 * Starts the target.
	 * @param responses the script
	 * @throws IOException if no port is free
	 */
	public RepeatingTarget(String... responses) throws IOException {
		this(true, responses);
	}

	private RepeatingTarget(boolean repeats, String... responses) throws IOException {
		this.repeats = repeats;
		this.script.addAll(List.of(responses));
		TargetThreads.prepare();
		TargetThreads.start(this::accept);
	}

	/**
	 * Starts a target that sends each response once.
	 * @param responses the script
	 * @return the target
	 * @throws IOException if no port is free
	 */
	public static RepeatingTarget withoutCopies(String... responses) throws IOException {
		return new RepeatingTarget(false, responses);
	}

	public int connections() {
		return this.connections.get();
	}

	public String address() {
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
				this.connections.incrementAndGet();
				TargetThreads.start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			OutputStream output = socket.getOutputStream();
			String previous = "";
			InputStream input = socket.getInputStream();
			for (String head = ScriptedTarget.readHead(input); !head.isEmpty(); head = ScriptedTarget.readHead(input)) {
				this.calls.add(head);
				output.write(previous.getBytes(StandardCharsets.US_ASCII));
				String response = this.script.poll();
				if (response == null) {
					return;
				}
				if (!previous.isEmpty()) {
					Thread.sleep(RESPONSE_DELAY_MILLIS);
				}
				output.write(response.getBytes(StandardCharsets.US_ASCII));
				previous = this.repeats ? response : "";
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has closed the connection or the test has ended.
		}
	}

}

package org.redwingramp.node.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.loop.EventLoop;

/**
 * An entry instance on loopback with a control leader that sends the views of the test.
 */
final class EntryFixture implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = 3000;

	/** The log is written ten times a second; a busy machine may be slower. */
	private static final int APPLY_ATTEMPTS = 2000;

	final ByteArrayOutputStream log = new ByteArrayOutputStream();

	private final EventLoop loop;

	private final EventWriter events;

	private final AtomicReference<Link> entry = new AtomicReference<>();

	private final BlockingQueue<GrantReply> relayed = new LinkedBlockingQueue<>();

	private final int port;

	private long sequence;

	EntryFixture() throws Exception {
		this.loop = new EventLoop((failure) -> failure.printStackTrace());
		this.events = new EventWriter(this.log, "test");
		this.port = freePort();
		int peerPort = freePort();
		this.loop.listen(local(peerPort), (tcp) -> Link.accepted(tcp, this::received, (link) -> {
		}));
		EntrySettings settings = new EntrySettings("test", "d", local(this.port), local(freePort()), peerPort,
				List.of("127.0.0.1"), 0.2, 50, 1_000_000_000L);
		EntryNode.start(this.loop, settings, new PlainDialect(), this.events);
		Thread thread = new Thread(this::run, "loop");
		thread.setDaemon(true);
		thread.start();
		while (this.entry.get() == null) {
			Thread.sleep(5);
		}
	}

	// Tells the entry instance who owns all keys; an empty name while they change hands.
	void owner(String name, ScriptedTarget... targets) throws Exception {
		this.sequence++;
		List<ViewTarget> list = java.util.stream.IntStream.range(0, targets.length)
			.mapToObj((i) -> new ViewTarget("t-" + i, "s", targets[i].address(), "d", 3, true, 0))
			.toList();
		FleetView view = new FleetView(1, this.sequence, 0, 1, 1, Optional.of(new byte[] { 1 }), list, List.of(),
				Map.of("s", List.of(new ViewRange(0, 65_535, name))));
		CompletableFuture<Void> sent = new CompletableFuture<>();
		this.loop.post(() -> {
			this.entry.get().send(new LinkMessage.View(view));
			sent.complete(null);
		});
		sent.get();
		String applied = "\"sequence\":" + this.sequence + ",";
		for (int i = 0; i < APPLY_ATTEMPTS && !this.log.toString(StandardCharsets.UTF_8).contains(applied); i++) {
			Thread.sleep(5);
		}
	}

	// Asks the entry instance to pass on a grant for a leader of a term; returns what
	// became of it.
	GrantOutcome relay(long term, ScriptedTarget target) throws Exception {
		GrantCall call = new GrantCall("t-0", false, 0, 9, 1, 3000, Optional.empty());
		this.loop.post(() -> this.entry.get().send(new LinkMessage.RelayCall(1, term, target.address(), call)));
		return this.relayed.poll(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).outcome();
	}

	String call(String path, String id) throws IOException {
		try (Socket socket = open(path, id)) {
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
	}

	Socket open(String path, String id) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.port);
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		String method = path.startsWith("/book") ? "POST" : "GET";
		String request = method + ' ' + path + " HTTP/1.1\r\nHost: h\r\nId: " + id
				+ "\r\nKey: 7\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
		socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	@Override
	public void close() {
		this.loop.stop();
		this.events.close();
	}

	private void received(Link link, LinkMessage message) {
		if (message instanceof LinkMessage.EntryHello && this.entry.get() == null) {
			link.send(new LinkMessage.LeaderInfo("127.0.0.1", true, List.of("127.0.0.1")));
			this.entry.set(link);
		}
		else if (message instanceof LinkMessage.RelayReply reply) {
			this.relayed.add(reply.reply());
		}
		else if (message instanceof LinkMessage.Report) {
			link.send(new LinkMessage.LeaderInfo("127.0.0.1", true, List.of("127.0.0.1")));
		}
	}

	private void run() {
		try {
			this.loop.run();
		}
		catch (IOException ex) {
			throw new IllegalStateException("the loop failed", ex);
		}
	}

	private static InetSocketAddress local(int number) {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), number);
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

}

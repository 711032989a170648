package org.redwingramp.node.control;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.loop.EventLoop;

/**
 * Control replicas on loopback addresses, each in its own thread with its own disk.
 */
final class ControlFixture implements AutoCloseable {

	private static final int ATTEMPTS = 100;

	private static final long PAUSE_MILLIS = 100;

	final ByteArrayOutputStream log = new ByteArrayOutputStream();

	private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();

	private final Path folder;

	private final List<String> seeds;

	private final int tolerated;

	private final int port;

	private final int peerPort;

	private final List<Running> running = new ArrayList<>();

	ControlFixture(Path folder, String... seeds) throws Exception {
		this(1, folder, seeds);
	}

	ControlFixture(int tolerated, Path folder, String... seeds) throws Exception {
		this.tolerated = tolerated;
		this.folder = folder;
		this.seeds = List.of(seeds);
		this.port = freePort();
		this.peerPort = freePort();
		for (String seed : seeds) {
			start(seed, true);
		}
	}

	// Starts a replica on the disk of its name.
	void start(String name, boolean founding) throws Exception {
		EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
		EventWriter events = new EventWriter(this.log, name);
		ControlSettings settings = new ControlSettings(name, name, new InetSocketAddress(name, this.port),
				this.peerPort, this.seeds, founding, this.tolerated, this.folder.resolve(name), System.nanoTime());
		CompletableFuture<Void> ended = new CompletableFuture<>();
		ControlNode node = ControlNode.start(loop, settings, new TextDialect(), events);
		Thread thread = new Thread(() -> run(loop, node, ended), name);
		thread.setDaemon(true);
		thread.start();
		this.running.add(new Running(name, loop, ended));
	}

	InetSocketAddress peerAddress(String name) {
		return new InetSocketAddress(name, this.peerPort);
	}

	// Removes the disk of a replica that was stopped.
	void wipe(String name) throws IOException {
		try (Stream<Path> files = Files.walk(this.folder.resolve(name))) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	void stop(String name) throws Exception {
		for (Running replica : List.copyOf(this.running)) {
			if (replica.name().equals(name)) {
				replica.loop().stop();
				replica.ended().get();
				this.running.remove(replica);
			}
		}
	}

	void stopAll() throws Exception {
		for (Running replica : List.copyOf(this.running)) {
			stop(replica.name());
		}
	}

	// Sends a call to the replicas in turn until one gives a final answer.
	String call(String text) throws Exception {
		for (int i = 0; i < ATTEMPTS; i++) {
			for (Running replica : this.running) {
				String answer = callOnce(replica.name(), text);
				if (!answer.startsWith("UNAVAILABLE") && !answer.startsWith("LEADER_IS")) {
					return answer;
				}
			}
			Thread.sleep(PAUSE_MILLIS);
		}
		throw new AssertionError("no final answer to " + text + "; log: " + this.log.toString(StandardCharsets.UTF_8));
	}

	String callOnce(String name, String text) throws InterruptedException {
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + name + ':' + this.port + "/call"))
				.timeout(Duration.ofSeconds(2))
				.POST(HttpRequest.BodyPublishers.ofString(text))
				.build();
			return this.client.send(request, HttpResponse.BodyHandlers.ofString()).body();
		}
		catch (IOException ex) {
			return "UNAVAILABLE";
		}
	}

	@Override
	public void close() throws Exception {
		stopAll();
	}

	private static void run(EventLoop loop, ControlNode node, CompletableFuture<Void> ended) {
		try {
			loop.run();
			node.close();
			ended.complete(null);
		}
		catch (IOException ex) {
			ended.completeExceptionally(ex);
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	private record Running(String name, EventLoop loop, CompletableFuture<Void> ended) {
	}

}

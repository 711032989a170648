package org.redwingramp.node.control;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.redwingramp.core.support.ReservedPorts;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.loop.EventLoop;

/**
 * A group of control replicas on loopback addresses in this process. Each has its own
 * thread, and below the test's folder its own data folder, which stands for its disk. Not
 * thread safe.
 */
final class ControlFixture implements AutoCloseable {

	private static final int MAX_ATTEMPTS = 100;

	private static final long RETRY_DELAY_MILLIS = 100;

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);

	final ByteArrayOutputStream log = new ByteArrayOutputStream();

	private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();

	private final Path folder;

	private final List<String> seeds;

	private final int toleratedLosses;

	private final ReservedPorts ports = ReservedPorts.reserve();

	private final int port = this.ports.port(0);

	private final int peerPort = this.ports.port(1);

	private final List<RunningReplica> running = new ArrayList<>();

	private final Map<String, StallingDisk> disks = new HashMap<>();

	ControlFixture(Path folder, String... seeds) throws Exception {
		this(1, folder, seeds);
	}

	ControlFixture(int toleratedLosses, Path folder, String... seeds) throws Exception {
		this.toleratedLosses = toleratedLosses;
		this.folder = folder;
		this.seeds = List.of(seeds);
		for (String seed : seeds) {
			start(seed, true);
		}
	}

	// Starts a replica on the data folder of its name, which it reads if it exists.
	void start(String name, boolean mayFormGroup) throws Exception {
		EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
		EventWriter events = new EventWriter(this.log, name);
		ControlSettings settings = new ControlSettings(name, name, new InetSocketAddress(name, this.port),
				this.peerPort, this.seeds, Set.of("a", "b", "c", "d"), mayFormGroup, this.toleratedLosses,
				this.folder.resolve(name), System.nanoTime());
		CompletableFuture<Void> ended = new CompletableFuture<>();
		StallingDisk disk = new StallingDisk(name);
		this.disks.put(name, disk);
		ControlNode node = ControlNode.start(loop, settings, new TextDialect(), events, disk);
		Thread thread = new Thread(() -> run(loop, node, ended), name);
		thread.setDaemon(true);
		thread.start();
		this.running.add(new RunningReplica(name, loop, events, ended));
	}

	// Waits until a replica ends by itself.
	void awaitEnd(String name) throws Exception {
		for (RunningReplica replica : List.copyOf(this.running)) {
			if (replica.name().equals(name)) {
				replica.ended().get(MAX_ATTEMPTS * RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
				this.running.remove(replica);
			}
		}
	}

	Path dataFolder(String name) {
		return this.folder.resolve(name);
	}

	StallingDisk disk(String name) {
		return this.disks.get(name);
	}

	// Returns the metrics of a running replica as text.
	String metrics(String name) throws Exception {
		CompletableFuture<String> text = new CompletableFuture<>();
		for (RunningReplica replica : this.running) {
			if (replica.name().equals(name)) {
				replica.loop().post(() -> text.complete(replica.events().metrics().text()));
			}
		}
		return text.get(MAX_ATTEMPTS * RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	// Returns the name of the replica that executes calls.
	String leader() throws Exception {
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			for (RunningReplica replica : this.running) {
				if (callOnce(replica.name(), "read").startsWith("DOCUMENT")) {
					return replica.name();
				}
			}
			Thread.sleep(RETRY_DELAY_MILLIS);
		}
		throw new AssertionError("no replica executed a call in " + MAX_ATTEMPTS + " rounds");
	}

	InetSocketAddress peerAddress(String name) {
		return new InetSocketAddress(name, this.peerPort);
	}

	// Deletes the data folder of a stopped replica.
	void wipe(String name) throws IOException {
		try (Stream<Path> files = Files.walk(this.folder.resolve(name))) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	void stop(String name) throws Exception {
		for (RunningReplica replica : List.copyOf(this.running)) {
			if (replica.name().equals(name)) {
				replica.loop().stop();
				replica.ended().get();
				this.running.remove(replica);
			}
		}
	}

	void stopAll() throws Exception {
		for (RunningReplica replica : List.copyOf(this.running)) {
			stop(replica.name());
		}
	}

	// Sends a call to the replicas in turn until one gives a response that is neither a
	// redirect nor a refusal as unavailable.
	String call(String text) throws Exception {
		return call(text, "");
	}

	// Sends a call like call(text), but not to one of the replicas.
	String call(String text, String excluded) throws Exception {
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			for (RunningReplica replica : this.running) {
				if (replica.name().equals(excluded)) {
					continue;
				}
				String answer = callOnce(replica.name(), text);
				if (!answer.startsWith("UNAVAILABLE") && !answer.startsWith("LEADER_IS")) {
					return answer;
				}
			}
			Thread.sleep(RETRY_DELAY_MILLIS);
		}
		throw new AssertionError("no replica executed the call \"" + text + "\" in " + MAX_ATTEMPTS + " rounds; log: "
				+ this.log.toString(StandardCharsets.UTF_8));
	}

	// Opens the connection for a call to one replica.
	OpenCall openCall(String name) throws IOException {
		return new OpenCall(new InetSocketAddress(name, this.port), (int) CALL_TIMEOUT.toMillis());
	}

	// Sends a call to one replica. An I/O error counts as unavailable.
	String callOnce(String name, String text) throws InterruptedException {
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + name + ':' + this.port + "/call"))
				.timeout(CALL_TIMEOUT)
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
		this.ports.close();
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

	private record RunningReplica(String name, EventLoop loop, EventWriter events, CompletableFuture<Void> ended) {
	}

}

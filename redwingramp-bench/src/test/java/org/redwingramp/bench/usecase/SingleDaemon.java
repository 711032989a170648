package org.redwingramp.bench.usecase;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.redwingramp.bench.standin.StandIn;
import org.redwingramp.core.support.ReservedPorts;
import org.redwingramp.daemon.EmbeddedDaemon;
import org.redwingramp.records.Settings;
import org.redwingramp.records.SettingsParseResult;
import org.redwingramp.records.SettingsParser;

/**
 * Runs one daemon with the control and entry roles in this process and sends plain HTTP
 * requests to it.
 */
final class SingleDaemon implements AutoCloseable {

	static final String OPERATOR_TOKEN = "operator-token-for-tests";

	static final String TARGET_TOKEN = "target-token-for-tests-0";

	private static final String RECORD = """
			schema = 1
			kind = "service"
			name = "taller-svc"
			version = 1
			[service]
			key_path_segment = 1
			slices = 16
			slots = 3
			connections = 10
			queue_limit = 64
			default_deadline_ms = 5000
			max_deadline_ms = 10000
			retention_s = 3600
			checks_fences = true
			idempotent = ["GET /history"]
			at_most_once = ["POST /visits"]
			deferrable = []
			""";

	/** The shortest announcement interval that docs/TARGETS.md asks targets for. */
	private static final long ANNOUNCE_INTERVAL_MILLIS = 500;

	private static final Logger LOGGER = Logger.getLogger(SingleDaemon.class.getName());

	private final HttpClient client = HttpClient.newHttpClient();

	private final ScheduledExecutorService announcer = Executors.newSingleThreadScheduledExecutor();

	private final ReservedPorts ports = ReservedPorts.reserve();

	private final int callerPort = this.ports.port(0);

	private final int operatorPort = this.ports.port(1);

	private final int internalPort = this.ports.port(2);

	private final EmbeddedDaemon daemon;

	SingleDaemon(Path folder) throws Exception {
		this.daemon = EmbeddedDaemon.start(settings(folder));
		await(this.daemon::ready);
	}

	int callerPort() {
		return this.callerPort;
	}

	int internalPort() {
		return this.internalPort;
	}

	/**
	 * Starts a target, announces it periodically as targets have to, and waits until it
	 * serves keys. On a busy machine the daemon may briefly consider the target lost;
	 * only the next announcement restores it.
	 */
	StandIn serveWithTarget() throws Exception {
		await(() -> send(operatorRequest("/v1/records").POST(HttpRequest.BodyPublishers.ofString(RECORD))
			.header("Content-Type", "application/toml")).statusCode() == 200);
		StandIn target = StandIn.open("--name", "taller-01", "--service", "taller-svc", "--domain", "zona-capital",
				"--listen", "127.0.0.1:0", "--entries", "127.0.0.1:" + this.callerPort, "--token", TARGET_TOKEN);
		await(() -> announce("taller-01", target.address(), target.bootId(), TARGET_TOKEN).statusCode() == 200);
		this.announcer.scheduleWithFixedDelay(() -> reannounce(target), ANNOUNCE_INTERVAL_MILLIS,
				ANNOUNCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		await(() -> get("/taller-svc/history/wok-1").statusCode() == 200);
		return target;
	}

	private void reannounce(StandIn target) {
		try {
			announce("taller-01", target.address(), target.bootId(), TARGET_TOKEN);
		}
		catch (IOException ex) {
			LOGGER.log(Level.WARNING,
					"announcement of target taller-01 received no response; retrying at the next interval", ex);
		}
		catch (InterruptedException ex) {
			// Closing the daemon interrupts the announcer.
			Thread.currentThread().interrupt();
		}
	}

	HttpResponse<String> announce(String name, String address, String bootId, String token)
			throws IOException, InterruptedException {
		String body = """
				{"service":"taller-svc","address":"%s","failureDomain":"zona-capital","slots":3,
				 "connections":10,"bootId":"%s","checksFences":true}""".formatted(address, bootId);
		return send(request(this.callerPort, "/.redwingramp/v1/targets/" + name)
			.PUT(HttpRequest.BodyPublishers.ofString(body))
			.header("Authorization", "Bearer " + token));
	}

	HttpResponse<String> get(String path) throws IOException, InterruptedException {
		return send(request(this.callerPort, path).GET());
	}

	HttpResponse<String> book(String path, String key, String body) throws IOException, InterruptedException {
		return send(request(this.callerPort, path).POST(HttpRequest.BodyPublishers.ofString(body))
			.header("Idempotency-Key", key)
			.header("Redwingramp-Issued", Long.toString(System.currentTimeMillis() / 100_000 * 100_000)));
	}

	HttpRequest.Builder callerRequest(String path) {
		return request(this.callerPort, path);
	}

	HttpRequest.Builder operatorRequest(String path) {
		return request(this.operatorPort, path).header("Authorization", "Bearer " + OPERATOR_TOKEN);
	}

	HttpRequest.Builder unauthenticatedRequest(String path) {
		return request(this.operatorPort, path);
	}

	HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private static HttpRequest.Builder request(int port, String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
	}

	/**
	 * Repeats a read while there is no leader, as operators' tools do. A pause of the
	 * process ends its leadership; until it is elected again it responds with 503 or 504.
	 */
	HttpResponse<String> readOnceLeaderElected(Read read) throws Exception {
		AtomicReference<HttpResponse<String>> response = new AtomicReference<>();
		await(() -> {
			response.set(read.send());
			return response.get().statusCode() < 500;
		});
		return response.get();
	}

	static void await(Condition condition) throws Exception {
		for (int i = 0; i < 400; i++) {
			if (condition.isMet()) {
				return;
			}
			TimeUnit.MILLISECONDS.sleep(25);
		}
		throw new AssertionError("condition was not met within 10 s");
	}

	private Settings settings(Path folder) {
		String text = """
				[instance]
				name = "single"
				failure_domain = "zona-capital"
				region = "guate-central"
				roles = ["control", "entry"]
				[listen]
				callers = "127.0.0.1:%d"
				operators = "127.0.0.1:%d"
				internal = "127.0.0.1:%d"
				[control]
				replicas = [{ name = "single", address = "127.0.0.1:%d" }]
				data_folder = "%s"
				[operators]
				tokens = { test = "%s" }
				[targets]
				token = "%s"
				[internal]
				shared_key = "shared-key-for-tests-0123456789abcdef"
				[limits]
				max_concurrent_requests = 64
				""".formatted(this.callerPort, this.operatorPort, this.internalPort, this.internalPort,
				folder.resolve("data"), OPERATOR_TOKEN, TARGET_TOKEN);
		SettingsParseResult result = SettingsParser.parse(folder.resolve("single.toml").toString(),
				text.getBytes(StandardCharsets.UTF_8));
		return result.settings().orElseThrow(() -> new AssertionError(result.findings()));
	}

	@Override
	public void close() throws Exception {
		this.announcer.shutdownNow();
		this.daemon.close();
		this.ports.close();
	}

	/** A request that can be repeated safely. */
	interface Read {

		HttpResponse<String> send() throws Exception;

	}

	/** A condition that a test waits for. */
	interface Condition {

		boolean isMet() throws Exception;

	}

}

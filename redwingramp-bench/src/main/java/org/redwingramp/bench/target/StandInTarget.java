package org.redwingramp.bench.target;

import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * A stand-in target: announces itself, accepts grants, runs requests in its slots and
 * counts how often each request identity ran. Thread safe.
 *
 * <p>
 * Invariant: with fences checked, a request runs only under a granted fence of the
 * highest gate epoch while the lease lasts.
 */
public final class StandInTarget extends Handler.Abstract {

	private static final String CONTROL_PREFIX = "/.redwingramp/";

	private static final String RUNS_PATH = "/.stand-in/runs";

	private static final long SLOT_WAIT_MILLIS = 20;

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int UNAVAILABLE = 503;

	private static final int MAX_THREADS = 64;

	private final TargetOptions options;

	private final String bootId = UUID.randomUUID().toString();

	private final GrantTable grants;

	private final Semaphore slots;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final ConcurrentHashMap<String, Integer> runs = new ConcurrentHashMap<>();

	private final ObjectMapper json = new ObjectMapper();

	private final Server server;

	private final ServerConnector connector;

	public StandInTarget(TargetOptions options) {
		this.options = options;
		this.grants = new GrantTable(StandInTarget::clockMillis);
		this.slots = new Semaphore(options.slots());
		this.server = new Server(new QueuedThreadPool(MAX_THREADS));
		this.connector = new ServerConnector(this.server, 1, 1);
		this.connector.setHost(options.address());
		this.connector.setPort(options.port());
		this.server.addConnector(this.connector);
		this.server.setHandler(this);
		this.server.setStopTimeout(TimeUnit.SECONDS.toMillis(5));
	}

	/**
	 * Starts listening.
	 * @return the announced address as {@code ip:port}
	 * @throws Exception if the port can't be opened
	 */
	public String open() throws Exception {
		this.server.start();
		return this.options.address() + ":" + this.connector.getLocalPort();
	}

	/**
	 * Stops listening after the running requests are done.
	 * @throws Exception if the server can't be stopped
	 */
	public void close() throws Exception {
		this.server.stop();
	}

	/**
	 * Returns the identifier of this run.
	 * @return the identifier
	 */
	public String bootId() {
		return this.bootId;
	}

	/**
	 * Returns how often the requests ran that change something.
	 * @return the highest number of runs of one request identity
	 */
	public int mostRuns() {
		return this.runs.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	/**
	 * Returns how many request identities ran.
	 * @return the number of identities
	 */
	public int distinctRuns() {
		return this.runs.size();
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) throws Exception {
		String path = Request.getPathInContext(request);
		if (path.startsWith(CONTROL_PREFIX)) {
			grant(request, response, callback);
		}
		else if (path.equals(RUNS_PATH)) {
			reply(response, callback, OK, this.json.valueToTree(this.runs));
		}
		else {
			serve(request, path, response, callback);
		}
		return true;
	}

	private void grant(Request request, Response response, Callback callback) throws Exception {
		JsonNode grant = this.json.readTree(Content.Source.asString(request));
		ConcurrentHashMap<String, Long> shards = new ConcurrentHashMap<>();
		grant.path("shards").forEach((node) -> shards.put(node.path("shard").asText(), node.path("fence").asLong()));
		boolean meant = grant.path("bootId").asText().equals(this.bootId);
		boolean accepted = meant && this.grants.accept(grant.path("epoch").asLong(), grant.path("number").asLong(),
				grant.path("leaseUntil").asLong(), shards);
		ObjectNode body = this.json.createObjectNode();
		body.put("clock", clockMillis());
		body.put("bootId", this.bootId);
		body.put("epoch", this.grants.epoch());
		body.put("number", this.grants.number());
		body.put("inFlight", this.inFlight.get());
		reply(response, callback, accepted ? OK : CONFLICT, body);
	}

	private void serve(Request request, String path, Response response, Callback callback) throws Exception {
		String requestId = request.getHeaders().get("Redwingramp-Request-Id");
		if (requestId != null) {
			response.getHeaders().put("Redwingramp-Request-Id", requestId);
		}
		int length = Content.Source.asByteBuffer(request).remaining();
		String objection = objection(request);
		if (!objection.isEmpty()) {
			refuse(response, callback, CONFLICT, objection);
			return;
		}
		if (!this.slots.tryAcquire(SLOT_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
			refuse(response, callback, UNAVAILABLE, "all slots are busy");
			return;
		}
		try {
			this.inFlight.incrementAndGet();
			run(request, path, requestId, length, response, callback);
		}
		finally {
			this.inFlight.decrementAndGet();
			this.slots.release();
		}
	}

	private void run(Request request, String path, String requestId, int length, Response response, Callback callback)
			throws Exception {
		TimeUnit.MILLISECONDS.sleep(this.options.workMillis());
		int count = 0;
		if (!HttpMethod.GET.is(request.getMethod()) && requestId != null) {
			count = this.runs.merge(requestId, 1, Integer::sum);
		}
		ObjectNode body = this.json.createObjectNode();
		body.put("target", this.options.name());
		body.put("path", path);
		body.put("bytes", length);
		body.put("runs", count);
		reply(response, callback, OK, body);
	}

	private String objection(Request request) {
		if (!this.options.checksFences()) {
			return "";
		}
		return this.grants.objection(number(request, "Redwingramp-Gate-Epoch"),
				request.getHeaders().get("Redwingramp-Shard"), number(request, "Redwingramp-Fence"));
	}

	private void refuse(Response response, Callback callback, int status, String reason) throws Exception {
		response.getHeaders().put("Redwingramp-Outcome", "not-run");
		ObjectNode body = this.json.createObjectNode();
		body.put("refused", reason);
		reply(response, callback, status, body);
	}

	private void reply(Response response, Callback callback, int status, JsonNode body) throws Exception {
		response.setStatus(status);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		Content.Sink.write(response, true, this.json.writeValueAsString(body), callback);
	}

	private static long number(Request request, String header) {
		String value = request.getHeaders().get(header);
		return (value != null) ? Long.parseLong(value) : 0;
	}

	private static long clockMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}

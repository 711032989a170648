package org.redwingramp.bench.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

import org.redwingramp.bench.standin.Faults.Mode;

/**
 * Handles the grants and requests of gates, and the control endpoints below
 * {@code /.stand-in/} that inject faults and report counters. Thread safe.
 *
 * <p>
 * Invariant: a request that is refused with the outcome "not-run" did not run.
 */
final class StandInHandler extends Handler.Abstract {

	private static final String OUTCOME_HEADER = "Redwingramp-Outcome";

	private static final String REQUEST_ID_HEADER = "Redwingramp-Request-Id";

	private static final String PAD_PARAMETER = "pad=";

	private final StandInOptions options;

	private final Grants grants = new Grants();

	private final Faults faults = new Faults();

	private final RunJournal journal;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicInteger maxInFlight = new AtomicInteger();

	private final ObjectMapper json = new ObjectMapper();

	private volatile long serviceNanos;

	StandInHandler(StandInOptions options, RunJournal journal) {
		this.options = options;
		this.journal = journal;
		this.serviceNanos = TimeUnit.MICROSECONDS.toNanos(options.serviceMicros());
	}

	int maxRuns() {
		return this.journal.maxRuns();
	}

	int distinctRequests() {
		return this.journal.runCounts().size();
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) throws Exception {
		String path = request.getHttpURI().getPath();
		if (path.startsWith("/.stand-in/")) {
			writeJson(response, callback, 200,
					path.equals("/.stand-in/runs") ? runCountsNode() : control(path, request));
			return true;
		}
		if (this.faults
			.suppressesResponses(request.getConnectionMetaData().getConnection().getEndPoint().getCreatedTimeStamp())) {
			return true;
		}
		if (path.equals("/.redwingramp/grant")) {
			applyGrant(request, response, callback);
		}
		else {
			runRequest(request, response, callback);
		}
		return true;
	}

	private ObjectNode runCountsNode() {
		ObjectNode node = this.json.createObjectNode();
		this.journal.runCounts().forEach(node::put);
		return node;
	}

	// Sets the injected fault (/.stand-in/fault?mode=late&ms=500&percent=20) or the
	// service time (/.stand-in/service?us=2000), and returns the counters.
	private ObjectNode control(String path, Request request) throws Exception {
		Fields query = Request.extractQueryParameters(request);
		if (path.equals("/.stand-in/fault")) {
			this.faults.set(Mode.valueOf(query.getValue("mode").toUpperCase(Locale.ROOT)), number(query, "ms", 0),
					(int) number(query, "percent", 100), System.currentTimeMillis());
		}
		if (path.equals("/.stand-in/service")) {
			this.serviceNanos = TimeUnit.MICROSECONDS.toNanos(number(query, "us", 0));
		}
		return counters();
	}

	ObjectNode counters() {
		ObjectNode node = this.json.createObjectNode();
		node.put("target", this.options.name());
		node.put("shards", this.grants.shardCount());
		node.put("atMostOnceRan", this.journal.runCounts().size());
		node.put("mostRuns", this.journal.maxRuns());
		node.put("mostInFlight", this.maxInFlight.get());
		node.put("fault", this.faults.current().mode().name());
		ObjectNode refused = node.putObject("refused");
		this.grants.refusalCounts().forEach(refused::put);
		return node;
	}

	private static long number(Fields query, String name, long defaultValue) {
		String value = query.getValue(name);
		return (value != null) ? Long.parseLong(value) : defaultValue;
	}

	private void applyGrant(Request request, Response response, Callback callback) throws Exception {
		boolean applied = this.grants.apply(this.json.readTree(Content.Source.asString(request)));
		ObjectNode reply = this.json.createObjectNode();
		reply.put("clock", this.grants.clockMillis());
		reply.put("bootId", this.options.bootId());
		reply.put("epoch", this.grants.epoch());
		reply.put("number", this.grants.grantNumber());
		reply.put("inFlight", this.inFlight.get());
		writeJson(response, callback, applied ? 200 : 409, reply);
	}

	private void runRequest(Request request, Response response, Callback callback) throws Exception {
		String identity = header(request, REQUEST_ID_HEADER);
		byte[] body = Content.Source.asString(request).getBytes(StandardCharsets.UTF_8);
		Optional<String> refusal = refusal(request);
		if (refusal.isPresent()) {
			response.getHeaders().put(OUTCOME_HEADER, "not-run");
			response.getHeaders().put(REQUEST_ID_HEADER, identity);
			writeJson(response, callback, 409, this.json.createObjectNode().put("refused", refusal.get()));
			return;
		}
		int concurrent = this.inFlight.incrementAndGet();
		this.maxInFlight.accumulateAndGet(concurrent, Math::max);
		int runs = this.journal.recordRun(identity, !HttpMethod.GET.is(request.getMethod()));
		waitFor(this.serviceNanos);
		this.inFlight.decrementAndGet();
		respond(request, identity, runs, body.length, response, callback);
	}

	private Optional<String> refusal(Request request) {
		String epoch = header(request, "Redwingramp-Gate-Epoch");
		if (epoch.isEmpty()) {
			return this.options.direct() ? Optional.empty() : Optional.of("no-epoch");
		}
		String fence = header(request, "Redwingramp-Fence");
		return this.grants.checkRequest(Long.parseLong(epoch), request.getHeaders().get("Redwingramp-Shard"),
				fence.isEmpty() ? 0 : Long.parseLong(fence));
	}

	private void respond(Request request, String identity, int runs, int bodyBytes, Response response,
			Callback callback) {
		String path = request.getHttpURI().getPath();
		String[] previous = this.faults.exchangePrevious(identity, path);
		boolean crossed = this.faults.affects(Mode.CROSSED, identity) && !previous[0].isEmpty();
		String reportedPath = crossed ? previous[1] : path;
		if (this.faults.affects(Mode.LATE, identity)) {
			waitFor(this.faults.delayNanos());
		}
		ObjectNode node = this.json.createObjectNode();
		node.put("target", this.options.name());
		node.put("path", reportedPath);
		node.put("key", reportedPath.substring(reportedPath.lastIndexOf('/') + 1));
		node.put("runs", runs);
		node.put("bodyBytes", bodyBytes);
		addPadding(request, node);
		response.getHeaders().put(REQUEST_ID_HEADER, crossed ? previous[0] : identity);
		if (this.faults.affects(Mode.TRUNCATED, identity)) {
			writeTruncated(request, response, callback, encode(node));
		}
		else {
			writeJson(response, callback, 200, node);
		}
	}

	// Adds padding of the size that the query requests (?pad=100000) to the response.
	private static void addPadding(Request request, ObjectNode node) {
		String query = request.getHttpURI().getQuery();
		if (query != null && query.startsWith(PAD_PARAMETER)) {
			node.put("pad", "x".repeat(Integer.parseInt(query.substring(PAD_PARAMETER.length()))));
		}
	}

	private static void writeTruncated(Request request, Response response, Callback callback, byte[] bytes) {
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
		ByteBuffer half = ByteBuffer.wrap(bytes, 0, bytes.length / 2);
		response.write(false, half, Callback.from(() -> {
			request.getConnectionMetaData().getConnection().getEndPoint().close();
			callback.failed(new IllegalStateException("response truncated by fault injection"));
		}, callback::failed));
	}

	private static void waitFor(long nanos) {
		long end = System.nanoTime() + nanos;
		for (long remaining = nanos; remaining > 0; remaining = end - System.nanoTime()) {
			LockSupport.parkNanos(remaining);
		}
	}

	private static String header(Request request, String name) {
		String value = request.getHeaders().get(name);
		return (value != null) ? value : "";
	}

	private void writeJson(Response response, Callback callback, int status, ObjectNode node) {
		byte[] bytes = encode(node);
		response.setStatus(status);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
		response.write(true, ByteBuffer.wrap(bytes), callback);
	}

	private static byte[] encode(ObjectNode node) {
		return node.toString().getBytes(StandardCharsets.UTF_8);
	}

	boolean idle() {
		return this.inFlight.get() == 0 && this.grants.shardCount() == 0;
	}

}

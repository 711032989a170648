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
 * Answers grants, requests and the switches of the stand-in target. Thread safe.
 *
 * <p>
 * Invariant: a request that is refused as not run did not run.
 */
final class StandInHandler extends Handler.Abstract {

	private static final String OUTCOME = "Redwingramp-Outcome";

	private static final String REQUEST_ID = "Redwingramp-Request-Id";

	private static final String PAD = "pad=";

	private final StandInOptions options;

	private final Grants grants = new Grants();

	private final Faults faults = new Faults();

	private final RunJournal journal;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicInteger mostInFlight = new AtomicInteger();

	private final ObjectMapper json = new ObjectMapper();

	private volatile long serviceNanos;

	StandInHandler(StandInOptions options, RunJournal journal) {
		this.options = options;
		this.journal = journal;
		this.serviceNanos = TimeUnit.MICROSECONDS.toNanos(options.serviceMicros());
	}

	int mostRuns() {
		return this.journal.mostRuns();
	}

	int distinctRuns() {
		return this.journal.runs().size();
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) throws Exception {
		String path = request.getHttpURI().getPath();
		if (path.startsWith("/.stand-in/")) {
			write(response, callback, 200, path.equals("/.stand-in/runs") ? runs() : control(path, request));
			return true;
		}
		if (this.faults.silent(request.getConnectionMetaData().getConnection().getEndPoint().getCreatedTimeStamp())) {
			return true;
		}
		if (path.equals("/.redwingramp/grant")) {
			grant(request, response, callback);
		}
		else {
			run(request, response, callback);
		}
		return true;
	}

	private ObjectNode runs() {
		ObjectNode node = this.json.createObjectNode();
		this.journal.runs().forEach(node::put);
		return node;
	}

	// Sets a fault (/.stand-in/fault?mode=late&ms=500&percent=20) or the service time
	// (/.stand-in/service?us=2000), and reports the counters.
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
		node.put("shards", this.grants.shards());
		node.put("atMostOnceRan", this.journal.runs().size());
		node.put("mostRuns", this.journal.mostRuns());
		node.put("mostInFlight", this.mostInFlight.get());
		node.put("fault", this.faults.now().mode().name());
		ObjectNode refused = node.putObject("refused");
		this.grants.refusals().forEach(refused::put);
		return node;
	}

	private static long number(Fields query, String name, long absent) {
		String value = query.getValue(name);
		return (value != null) ? Long.parseLong(value) : absent;
	}

	private void grant(Request request, Response response, Callback callback) throws Exception {
		boolean taken = this.grants.grant(this.json.readTree(Content.Source.asString(request)));
		ObjectNode reply = this.json.createObjectNode();
		reply.put("clock", this.grants.clockMillis());
		reply.put("bootId", this.options.bootId());
		reply.put("epoch", this.grants.epoch());
		reply.put("number", this.grants.number());
		reply.put("inFlight", this.inFlight.get());
		write(response, callback, taken ? 200 : 409, reply);
	}

	private void run(Request request, Response response, Callback callback) throws Exception {
		String identity = header(request, REQUEST_ID);
		byte[] body = Content.Source.asString(request).getBytes(StandardCharsets.UTF_8);
		Optional<String> refusal = refusal(request);
		if (refusal.isPresent()) {
			response.getHeaders().put(OUTCOME, "not-run");
			response.getHeaders().put(REQUEST_ID, identity);
			write(response, callback, 409, this.json.createObjectNode().put("refused", refusal.get()));
			return;
		}
		int now = this.inFlight.incrementAndGet();
		this.mostInFlight.accumulateAndGet(now, Math::max);
		int runs = this.journal.ran(identity, !HttpMethod.GET.is(request.getMethod()));
		park(this.serviceNanos);
		this.inFlight.decrementAndGet();
		answer(request, identity, runs, body.length, response, callback);
	}

	private Optional<String> refusal(Request request) {
		String epoch = header(request, "Redwingramp-Gate-Epoch");
		if (epoch.isEmpty()) {
			return this.options.direct() ? Optional.empty() : Optional.of("no-epoch");
		}
		String fence = header(request, "Redwingramp-Fence");
		return this.grants.refusal(Long.parseLong(epoch), request.getHeaders().get("Redwingramp-Shard"),
				fence.isEmpty() ? 0 : Long.parseLong(fence));
	}

	private void answer(Request request, String identity, int runs, int length, Response response, Callback callback) {
		String path = request.getHttpURI().getPath();
		String[] before = this.faults.swap(identity, path);
		boolean crossed = this.faults.hits(Mode.CROSSED, identity) && !before[0].isEmpty();
		String shownPath = crossed ? before[1] : path;
		if (this.faults.hits(Mode.LATE, identity)) {
			park(this.faults.lateNanos());
		}
		ObjectNode node = this.json.createObjectNode();
		node.put("target", this.options.name());
		node.put("path", shownPath);
		node.put("key", shownPath.substring(shownPath.lastIndexOf('/') + 1));
		node.put("runs", runs);
		node.put("bodyBytes", length);
		pad(request, node);
		response.getHeaders().put(REQUEST_ID, crossed ? before[0] : identity);
		if (this.faults.hits(Mode.TRUNCATED, identity)) {
			truncated(request, response, callback, bytes(node));
		}
		else {
			write(response, callback, 200, node);
		}
	}

	// Makes the answer longer if the query says so (?pad=100000).
	private static void pad(Request request, ObjectNode node) {
		String query = request.getHttpURI().getQuery();
		if (query != null && query.startsWith(PAD)) {
			node.put("pad", "x".repeat(Integer.parseInt(query.substring(PAD.length()))));
		}
	}

	private static void truncated(Request request, Response response, Callback callback, byte[] bytes) {
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
		ByteBuffer half = ByteBuffer.wrap(bytes, 0, bytes.length / 2);
		response.write(false, half, Callback.from(() -> {
			request.getConnectionMetaData().getConnection().getEndPoint().close();
			callback.failed(new IllegalStateException("cut on demand"));
		}, callback::failed));
	}

	private static void park(long nanos) {
		long end = System.nanoTime() + nanos;
		for (long left = nanos; left > 0; left = end - System.nanoTime()) {
			LockSupport.parkNanos(left);
		}
	}

	private static String header(Request request, String name) {
		String value = request.getHeaders().get(name);
		return (value != null) ? value : "";
	}

	private void write(Response response, Callback callback, int status, ObjectNode node) {
		byte[] bytes = bytes(node);
		response.setStatus(status);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
		response.write(true, ByteBuffer.wrap(bytes), callback);
	}

	private static byte[] bytes(ObjectNode node) {
		return node.toString().getBytes(StandardCharsets.UTF_8);
	}

	boolean idle() {
		return this.inFlight.get() == 0 && this.grants.shards() == 0;
	}

}

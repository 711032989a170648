package org.redwingramp.bench.load;

import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Sends requests as a caller of the service and checks every response. Lookups are
 * idempotent requests, bookings are at-most-once requests. Thread safe.
 *
 * <p>
 * Invariant: a booking is recorded as "not run" only if none of its sends ended as
 * "unknown" or "broken" (the connection failed after the request was begun).
 */
final class Caller {

	private static final int MAX_RESENDS = 4;

	private static final long RESEND_PAUSE_MILLIS = 250;

	private static final int MAX_PROBES = 100;

	private static final long PROBE_PAUSE_MILLIS = 50;

	private static final long RESPONSE_MARGIN_MILLIS = 1_000;

	private final LoadOptions options;

	private final HttpClient client;

	private final LoadBalancer balancer;

	private final KeyGenerator keys;

	private final LoadResults results;

	private final Set<String> probedKeys = ConcurrentHashMap.newKeySet();

	private final ObjectMapper json = new ObjectMapper();

	Caller(LoadOptions options, HttpClient client, LoadBalancer balancer, LoadResults results) {
		this.options = options;
		this.client = client;
		this.balancer = balancer;
		this.results = results;
		this.keys = new KeyGenerator(options.keys(), options.zipf());
	}

	void sendRequest(long intendedNanos) throws InterruptedException {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		String key = this.keys.draw(random);
		this.results.count("sent");
		this.results.recordStarted(key, intendedNanos);
		boolean booking = random.nextDouble() < this.options.bookings();
		String outcome = booking ? book(key, intendedNanos) : lookUp(key, intendedNanos);
		if (!outcome.equals("answered")) {
			this.results.count(outcome);
			probe(key);
		}
	}

	// Repeats lookups of a key until one is answered, so that the end of an outage is
	// detected when it occurs and not only by the key's next request. Only one thread at
	// a time probes a key, so that probes add a negligible load.
	private void probe(String key) throws InterruptedException {
		if (!this.probedKeys.add(key)) {
			return;
		}
		for (int i = 0; i < MAX_PROBES; i++) {
			TimeUnit.MILLISECONDS.sleep(PROBE_PAUSE_MILLIS);
			this.results.count("probes");
			if (lookUp(key, System.nanoTime()).equals("answered")) {
				this.results.count("probesAnswered");
				break;
			}
		}
		this.probedKeys.remove(key);
	}

	private String lookUp(String key, long intendedNanos) throws InterruptedException {
		return send(this.balancer.choose(""), "/history/" + key, key, "", intendedNanos).outcome();
	}

	private String book(String key, long intendedNanos) throws InterruptedException {
		String identity = KeyGenerator.newIdentity();
		String path = "/visits/" + key;
		String entry = this.balancer.choose("");
		SendResult result = send(entry, path, key, identity, intendedNanos);
		String outcome = result.outcome();
		for (int i = 0; i < MAX_RESENDS && (outcome.equals("unknown") || outcome.equals("broken")); i++) {
			TimeUnit.MILLISECONDS.sleep(RESEND_PAUSE_MILLIS);
			entry = this.balancer.choose(entry);
			this.results.count("resent");
			result = send(entry, path, key, identity, intendedNanos);
			if (result.outcome().equals("answered")) {
				this.results.count("resentAnswered");
				outcome = "answered";
			}
		}
		this.results.recordOutcome(identity, outcome);
		return outcome;
	}

	private SendResult send(String entry, String path, String key, String identity, long intendedNanos)
			throws InterruptedException {
		Request request = this.client.newRequest("http://" + entry)
			.path("/" + this.options.service() + path)
			.method(identity.isEmpty() ? HttpMethod.GET : HttpMethod.POST)
			.timeout(this.options.deadlineMillis() + RESPONSE_MARGIN_MILLIS, TimeUnit.MILLISECONDS)
			.headers((headers) -> headers.put("Redwingramp-Deadline-Ms", Long.toString(this.options.deadlineMillis())));
		if (!identity.isEmpty()) {
			request.headers((headers) -> headers.put("Idempotency-Key", identity));
			request.body(new StringRequestContent("text/plain", "visit " + identity));
		}
		boolean[] requestBegun = { false };
		request.onRequestBegin((begun) -> requestBegun[0] = true);
		try {
			return checkResponse(request.send(), path, key, identity, intendedNanos);
		}
		catch (TimeoutException | ExecutionException ex) {
			String outcome = (requestBegun[0]) ? "broken" : "notConnected";
			this.results.countProblem(outcome + " by " + ex.getClass().getSimpleName());
			return new SendResult(outcome);
		}
	}

	private SendResult checkResponse(ContentResponse response, String path, String key, String identity,
			long intendedNanos) {
		long now = System.nanoTime();
		String outcome = response.getHeaders().get("Redwingramp-Outcome");
		String id = response.getHeaders().get("Redwingramp-Request-Id");
		if (this.options.direct()) {
			outcome = "answered";
		}
		if (outcome == null) {
			this.results.countProblem("no outcome, status " + response.getStatus());
			return new SendResult("wrong");
		}
		if (!outcome.equals("answered")) {
			this.results.countProblem(problemCode(response));
			if (identity.isEmpty() && id != null) {
				this.results.recordOutcome(id, outcome);
			}
			return new SendResult(outcome.equals("not-run") ? "notRun" : outcome);
		}
		Optional<String> target = respondingTarget(response, "/" + this.options.service() + path, key, identity);
		if (target.isEmpty()) {
			return new SendResult("wrong");
		}
		this.results.recordAnswered(key, target.get(), intendedNanos, now);
		return new SendResult("answered");
	}

	private String problemCode(ContentResponse response) {
		try {
			return this.json.readTree(response.getContent()).path("code").asText("no code");
		}
		catch (IOException ex) {
			return "no problem body";
		}
	}

	// Returns the target that responded, or empty if the response belongs to another
	// request or can't be read.
	private Optional<String> respondingTarget(ContentResponse response, String path, String key, String identity) {
		try {
			JsonNode body = this.json.readTree(response.getContent());
			boolean matches = body.path("path").asText().equals(path) && body.path("key").asText().equals(key)
					&& body.path("runs").asInt() == 1;
			String id = response.getHeaders().get("Redwingramp-Request-Id");
			if (matches && (identity.isEmpty() || identity.equals(id))) {
				return Optional.of(body.path("target").asText());
			}
			this.results.countProblem("wrong answer");
		}
		catch (IOException ex) {
			this.results.countProblem("answer not whole");
		}
		return Optional.empty();
	}

	/**
	 * The result of one send.
	 *
	 * @param outcome answered, notRun, unknown, broken, notConnected or wrong
	 */
	private record SendResult(String outcome) {
	}

}

package org.redwingramp.cli.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;

import org.redwingramp.records.Endpoint;
import org.redwingramp.records.Secret;

/**
 * Sends calls to the instances in the order of their endpoints until one answers. Keeps
 * track of whether an earlier attempt may have taken effect, so that a later refusal is
 * not taken for the outcome of the whole call. Not thread safe.
 */
final class OperatorClient implements AutoCloseable {

	/** Holds the status of the largest deployment planned, 14,000 daemons. */
	private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

	private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

	/** An election of a control leader takes up to 400 ms. */
	private static final long PAUSE_MILLIS = 200;

	private final List<Endpoint> endpoints;

	private final Secret token;

	private final ObjectMapper mapper = new ObjectMapper();

	private final HttpClient http = new HttpClient();

	OperatorClient(List<Endpoint> endpoints, Secret token) {
		this.endpoints = endpoints;
		this.token = token;
	}

	/**
	 * Sends a call.
	 * @param call the call
	 * @return the successful answer
	 * @throws CliException if the call is refused, nobody can be reached or the outcome
	 * is unknown
	 */
	Answer send(Call call) throws CliException {
		start();
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(call.timeoutMillis());
		Progress progress = new Progress(call);
		do {
			progress.startRound();
			for (int index = 0; index < this.endpoints.size(); index++) {
				Optional<Answer> answer = attempt(call, index, deadline, progress);
				if (answer.isPresent()) {
					return progress.accepted(this.endpoints.get(index), answer.get());
				}
			}
		}
		while (progress.worthRepeating() && pause(deadline));
		throw progress.failure();
	}

	private Optional<Answer> attempt(Call call, int index, long deadline, Progress progress) throws CliException {
		Endpoint endpoint = this.endpoints.get(index);
		long remaining = Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()));
		long timeout = Math.max(call.attemptMillis(), remaining / (this.endpoints.size() - index));
		AtomicBoolean begun = new AtomicBoolean();
		Request request = request(call, endpoint).timeout(timeout, TimeUnit.MILLISECONDS)
			.onRequestBegin((started) -> begun.set(true));
		try {
			ContentResponse response = new CompletableResponseListener(request, MAX_ANSWER_BYTES).send().get();
			Answer answer = new Answer(response.getStatus(), body(response));
			if (answer.instanceFailed()) {
				progress.instanceFailed(endpoint, answer);
				return Optional.empty();
			}
			return Optional.of(answer);
		}
		catch (ExecutionException ex) {
			progress.connectionFailed(endpoint, begun.get(), ex.getCause());
		}
		catch (IOException ex) {
			progress.connectionFailed(endpoint, true, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			progress.connectionFailed(endpoint, begun.get(), ex);
			throw progress.failure();
		}
		return Optional.empty();
	}

	private Request request(Call call, Endpoint endpoint) {
		Request request = this.http.newRequest("http://" + endpoint)
			.method(call.method())
			.path(call.path())
			.headers((headers) -> headers.put("Authorization", "Bearer " + this.token.reveal()));
		call.query().forEach(request::param);
		call.headers().forEach((name, value) -> request.headers((headers) -> headers.put(new HttpField(name, value))));
		call.body().ifPresent((body) -> request.body(new BytesRequestContent("application/toml", body)));
		return request;
	}

	private JsonNode body(ContentResponse response) throws IOException {
		String type = Optional.ofNullable(response.getMediaType()).orElse("");
		JsonNode body = type.endsWith("json") ? this.mapper.readTree(response.getContent()) : this.mapper.missingNode();
		if (!body.isObject() && response.getStatus() == HttpStatus.OK_200) {
			throw new IOException("the answer isn't a JSON object");
		}
		return body.isObject() ? body : this.mapper.createObjectNode();
	}

	private boolean pause(long deadline) {
		if (System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS) >= deadline) {
			return false;
		}
		return Pauses.pause(PAUSE_MILLIS);
	}

	private void start() throws CliException {
		if (this.http.isStarted()) {
			return;
		}
		this.http.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
		this.http.setFollowRedirects(false);
		this.http.setUserAgentField(new HttpField("User-Agent", "redwingramp"));
		try {
			this.http.start();
			// The built-in handling of 401 fails if the answer has no challenge and would
			// hide the refusal.
			this.http.getProtocolHandlers().clear();
		}
		catch (Exception ex) {
			throw CliException.unreachable("the HTTP client doesn't start (" + ex + ")");
		}
	}

	@Override
	public void close() {
		try {
			this.http.stop();
		}
		catch (Exception ex) {
			// The process ends right after this call, which frees the connections.
		}
	}

	/** What is known about a call after the attempts so far. */
	private static final class Progress {

		private final Call call;

		private final List<String> attempts = new ArrayList<>();

		private boolean mayHaveRun;

		private boolean repeat;

		Progress(Call call) {
			this.call = call;
		}

		void startRound() {
			this.attempts.clear();
			this.repeat = false;
		}

		void instanceFailed(Endpoint endpoint, Answer answer) {
			this.mayHaveRun |= this.call.changesState() && !answer.notRun();
			this.repeat = true;
			this.attempts.add(endpoint + " answered " + answer.status() + " " + answer.code());
		}

		void connectionFailed(Endpoint endpoint, boolean begun, Throwable cause) {
			this.mayHaveRun |= this.call.changesState() && begun;
			this.attempts.add(endpoint + " failed " + (begun ? "after the request was sent" : "to connect") + " ("
					+ cause.getClass().getSimpleName() + ": " + cause.getMessage() + ")");
		}

		Answer accepted(Endpoint endpoint, Answer answer) throws CliException {
			if (answer.successful()) {
				return answer;
			}
			CliException refusal = CliException.refused(endpoint.toString(), answer);
			if (this.mayHaveRun) {
				this.attempts.add("then " + refusal.getMessage());
				throw failure();
			}
			throw refusal;
		}

		boolean worthRepeating() {
			return this.repeat;
		}

		CliException failure() {
			String text = String.join("; ", this.attempts);
			return this.mayHaveRun ? CliException.unknown(text) : CliException.unreachable(text);
		}

	}

}

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
 * HTTP client of the operator API. Sends a call to the instances in the order of their
 * endpoints until one of them accepts or refuses it. Tracks whether an earlier attempt
 * may have taken effect, since a later refusal is then not the outcome of the whole call.
 * Not thread safe.
 */
final class OperatorClient implements AutoCloseable {

	/** Large enough for the status of 14,000 daemons, the largest planned deployment. */
	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

	/** Shorter than the election of a control leader, which takes up to 400 ms. */
	private static final long RETRY_DELAY_MILLIS = 200;

	private final List<Endpoint> endpoints;

	private final Secret token;

	private final ObjectMapper mapper = new ObjectMapper();

	private final HttpClient http = new HttpClient();

	OperatorClient(List<Endpoint> endpoints, Secret token) {
		this.endpoints = endpoints;
		this.token = token;
	}

	/**
	 * Sends a call. Tries all instances again after a delay as long as one of them
	 * responds with a server error and time is left.
	 * @param call the call
	 * @return the successful response
	 * @throws CliException if the call is refused, no instance can be reached or the
	 * outcome is unknown
	 */
	ApiResponse send(ApiCall call) throws CliException {
		start();
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(call.timeoutMillis());
		Progress progress = new Progress(call);
		do {
			progress.startRound();
			for (int index = 0; index < this.endpoints.size(); index++) {
				Optional<ApiResponse> response = attempt(call, index, deadlineNanos, progress);
				if (response.isPresent()) {
					return progress.requireSuccess(this.endpoints.get(index), response.get());
				}
			}
		}
		while (progress.shouldRetry() && sleepBeforeRetry(deadlineNanos));
		throw progress.failure();
	}

	private Optional<ApiResponse> attempt(ApiCall call, int index, long deadlineNanos, Progress progress)
			throws CliException {
		Endpoint endpoint = this.endpoints.get(index);
		long remainingMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
		long timeoutMillis = Math.max(call.attemptMillis(), remainingMillis / (this.endpoints.size() - index));
		AtomicBoolean sendStarted = new AtomicBoolean();
		Request request = newRequest(call, endpoint).timeout(timeoutMillis, TimeUnit.MILLISECONDS)
			.onRequestBegin((begun) -> sendStarted.set(true));
		try {
			ContentResponse content = new CompletableResponseListener(request, MAX_RESPONSE_BYTES).send().get();
			ApiResponse response = new ApiResponse(content.getStatus(), parseBody(content));
			if (response.serverError()) {
				progress.recordServerError(endpoint, response);
				return Optional.empty();
			}
			return Optional.of(response);
		}
		catch (ExecutionException ex) {
			progress.recordConnectionFailure(endpoint, sendStarted.get(), ex.getCause());
		}
		catch (IOException ex) {
			progress.recordConnectionFailure(endpoint, true, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			progress.recordConnectionFailure(endpoint, sendStarted.get(), ex);
			throw progress.failure();
		}
		return Optional.empty();
	}

	private Request newRequest(ApiCall call, Endpoint endpoint) {
		Request request = this.http.newRequest("http://" + endpoint)
			.method(call.method())
			.path(call.path())
			.headers((headers) -> headers.put("Authorization", "Bearer " + this.token.reveal()));
		call.query().forEach(request::param);
		call.headers().forEach((name, value) -> request.headers((headers) -> headers.put(new HttpField(name, value))));
		call.body().ifPresent((body) -> request.body(new BytesRequestContent("application/toml", body)));
		return request;
	}

	private JsonNode parseBody(ContentResponse response) throws IOException {
		String type = Optional.ofNullable(response.getMediaType()).orElse("");
		JsonNode body = type.endsWith("json") ? this.mapper.readTree(response.getContent()) : this.mapper.missingNode();
		if (!body.isObject() && response.getStatus() == HttpStatus.OK_200) {
			throw new IOException("the response isn't a JSON object");
		}
		return body.isObject() ? body : this.mapper.createObjectNode();
	}

	private boolean sleepBeforeRetry(long deadlineNanos) {
		if (System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS) >= deadlineNanos) {
			return false;
		}
		return Sleeper.sleep(RETRY_DELAY_MILLIS);
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
			// The built-in handler of status 401 fails if the response has no challenge,
			// which would hide the refusal.
			this.http.getProtocolHandlers().clear();
		}
		catch (Exception ex) {
			throw CliException.unreachable("the HTTP client failed to start (" + ex + ")");
		}
	}

	@Override
	public void close() {
		try {
			this.http.stop();
		}
		catch (Exception ex) {
			// The process exits right after this call, which closes the connections.
		}
	}

	/** The state of a call after the attempts so far. */
	private static final class Progress {

		private final ApiCall call;

		private final List<String> attempts = new ArrayList<>();

		private boolean mayHaveTakenEffect;

		private boolean retryable;

		Progress(ApiCall call) {
			this.call = call;
		}

		void startRound() {
			this.attempts.clear();
			this.retryable = false;
		}

		void recordServerError(Endpoint endpoint, ApiResponse response) {
			this.mayHaveTakenEffect |= this.call.changesState() && !response.notRun();
			this.retryable = true;
			this.attempts.add(endpoint + " responded with " + response.status() + " " + response.code());
		}

		void recordConnectionFailure(Endpoint endpoint, boolean sendStarted, Throwable cause) {
			this.mayHaveTakenEffect |= this.call.changesState() && sendStarted;
			this.attempts.add((sendStarted ? "call to " + endpoint + " failed after the request was sent"
					: "connection to " + endpoint + " failed") + " (" + cause.getClass().getSimpleName() + ": "
					+ cause.getMessage() + ")");
		}

		ApiResponse requireSuccess(Endpoint endpoint, ApiResponse response) throws CliException {
			if (response.successful()) {
				return response;
			}
			CliException refusal = CliException.refused(endpoint.toString(), response);
			if (this.mayHaveTakenEffect) {
				this.attempts.add("then " + refusal.getMessage());
				throw failure();
			}
			throw refusal;
		}

		boolean shouldRetry() {
			return this.retryable;
		}

		CliException failure() {
			String description = String.join("; ", this.attempts);
			return this.mayHaveTakenEffect ? CliException.unknown(description) : CliException.unreachable(description);
		}

	}

}

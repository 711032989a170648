package org.redwingramp.daemon.internal.http;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

import org.redwingramp.core.model.Outcome;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.daemon.internal.gate.GateReply;
import org.redwingramp.daemon.internal.metrics.CallerMetrics;
import org.redwingramp.daemon.internal.route.InboundRequest;
import org.redwingramp.daemon.internal.route.Problem;
import org.redwingramp.daemon.internal.route.RequestRefusedException;
import org.redwingramp.daemon.internal.route.RequestRouter;
import org.redwingramp.daemon.internal.route.RoutedReply;
import org.redwingramp.records.Secret;

/**
 * Serves callers' requests: checks the credential and the concurrency limit, has the
 * request routed and writes the response. Thread safe.
 *
 * <p>
 * Invariant: each response states the outcome of the request in the header
 * {@code Redwingramp-Outcome}, and carries either the target's complete response or a
 * problem body.
 */
public final class CallerHandler extends Handler.Abstract {

	private static final String REPLAYED = "Redwingramp-Replayed";

	private final RequestRouter router;

	private final RequestLimiter limiter;

	private final Optional<Secret> token;

	private final int maxBodyBytes;

	private final CallerMetrics metrics;

	private final LongSupplier clock;

	public CallerHandler(RequestRouter router, RequestLimiter limiter, Optional<Secret> token, int maxBodyBytes,
			CallerMetrics metrics, LongSupplier clock) {
		this.router = router;
		this.limiter = limiter;
		this.token = token;
		this.maxBodyBytes = maxBodyBytes;
		this.metrics = metrics;
		this.clock = clock;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		long arrivedNanos = this.clock.getAsLong();
		if (this.limiter.stopping()) {
			response.getHeaders().put(HttpHeader.CONNECTION, "close");
		}
		if (!this.limiter.tryEnter()) {
			writeProblem(response, callback, "-", Problem.INSTANCE_OVERLOADED,
					"the limit of " + this.limiter.limit() + " concurrent requests is reached", arrivedNanos);
			return true;
		}
		Callback leaveOnCompletion = Callback.from(callback, this.limiter::leave);
		try {
			serve(request, response, leaveOnCompletion, arrivedNanos);
		}
		catch (RequestRefusedException ex) {
			writeProblem(response, leaveOnCompletion, "-", ex.problem(), ex.getMessage(), arrivedNanos);
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.DUTY_FAILED, "caller request", ex);
			writeProblem(response, leaveOnCompletion, "-", Problem.INTERNAL,
					"unexpected failure; see the log of the instance", arrivedNanos);
		}
		return true;
	}

	private void serve(Request request, Response response, Callback callback, long arrivedNanos)
			throws RequestRefusedException {
		authorise(request);
		byte[] body = BoundedBody.read(request, this.maxBodyBytes);
		CompletableFuture<Void> cancelled = new CompletableFuture<>();
		request.addFailureListener((failure) -> cancelled.complete(null));
		RoutedReply routed = this.router.route(inbound(request, body, arrivedNanos), cancelled);
		GateReply reply = routed.reply();
		if (reply.problem().isPresent()) {
			writeProblem(response, callback, routed.identity(), reply.problem().get(), reply.detail(), arrivedNanos);
		}
		else {
			writeAnswer(response, callback, routed.identity(), reply, arrivedNanos);
		}
	}

	private void authorise(Request request) throws RequestRefusedException {
		if (this.token.isEmpty()) {
			return;
		}
		Optional<String> presented = HttpMessages.bearerToken(request);
		if (presented.isEmpty() || !this.token.get().matches(presented.get())) {
			EventLog.log(Event.UNAUTHORISED, "callers", Request.getRemoteAddr(request), "no valid bearer token");
			throw new RequestRefusedException(Problem.UNAUTHORIZED, "no valid bearer token");
		}
	}

	private InboundRequest inbound(Request request, byte[] body, long arrivedNanos) {
		List<HeaderField> all = Headers.all(request.getHeaders());
		List<HeaderField> forwarded = Headers.forwardedFields(request.getHeaders())
			.stream()
			.filter((field) -> this.token.isEmpty() || !field.name().equalsIgnoreCase("Authorization"))
			.toList();
		String query = request.getHttpURI().getQuery();
		return new InboundRequest(request.getMethod(), request.getHttpURI().getPath(),
				(query != null) ? "?" + query : "", all, forwarded, body, arrivedNanos);
	}

	private void writeAnswer(Response response, Callback callback, String identity, GateReply reply,
			long arrivedNanos) {
		response.setStatus(reply.status());
		reply.headers().forEach((field) -> response.getHeaders().add(field.name(), field.value()));
		response.getHeaders().put(Headers.OUTCOME, Outcome.ANSWERED.headerValue());
		response.getHeaders().put(Headers.REQUEST_ID, identity);
		if (reply.replayed()) {
			response.getHeaders().put(REPLAYED, "true");
		}
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, reply.body().length);
		recordOutcome(identity, Outcome.ANSWERED, reply.status(), reply.replayed() ? "replayed" : "-", arrivedNanos);
		response.write(true, ByteBuffer.wrap(reply.body()), callback);
	}

	private void writeProblem(Response response, Callback callback, String identity, Problem problem, String detail,
			long arrivedNanos) {
		response.getHeaders().put(Headers.OUTCOME, problem.outcome().headerValue());
		if (!identity.equals("-")) {
			response.getHeaders().put(Headers.REQUEST_ID, identity);
		}
		if (problem.outcome() == Outcome.NOT_RUN && problem.status() >= 429) {
			response.getHeaders().put(HttpHeader.RETRY_AFTER, "1");
		}
		recordOutcome(identity, problem.outcome(), problem.status(), problem.code(), arrivedNanos);
		HttpMessages.problem(response, callback, problem.status(),
				ProblemBody.create(problem.status(), problem.code(), problem.title(), problem.outcome(), detail));
	}

	private void recordOutcome(String identity, Outcome outcome, int status, String code, long arrivedNanos) {
		long elapsed = this.clock.getAsLong() - arrivedNanos;
		this.metrics.recordResponse(outcome, elapsed);
		EventLog.log(Event.ANSWERED, identity, outcome.headerValue(), status, code,
				TimeUnit.NANOSECONDS.toMicros(elapsed));
	}

}

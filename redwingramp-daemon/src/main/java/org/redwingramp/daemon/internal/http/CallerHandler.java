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
 * Answers callers' requests. Thread safe.
 *
 * <p>
 * Invariant: each answer says what became of the request, and is the target's whole
 * answer or a problem body.
 */
public final class CallerHandler extends Handler.Abstract {

	private static final String REPLAYED = "Redwingramp-Replayed";

	private final RequestRouter router;

	private final RequestGauge gauge;

	private final Optional<Secret> token;

	private final int maxBodyBytes;

	private final CallerMetrics metrics;

	private final LongSupplier clock;

	public CallerHandler(RequestRouter router, RequestGauge gauge, Optional<Secret> token, int maxBodyBytes,
			CallerMetrics metrics, LongSupplier clock) {
		this.router = router;
		this.gauge = gauge;
		this.token = token;
		this.maxBodyBytes = maxBodyBytes;
		this.metrics = metrics;
		this.clock = clock;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		long arrived = this.clock.getAsLong();
		if (this.gauge.stopping()) {
			response.getHeaders().put(HttpHeader.CONNECTION, "close");
		}
		if (!this.gauge.enter()) {
			refuse(response, callback, "-", Problem.INSTANCE_OVERLOADED, "at most " + this.gauge.limit() + " at once",
					arrived);
			return true;
		}
		Callback counted = Callback.from(callback, this.gauge::leave);
		try {
			serve(request, response, counted, arrived);
		}
		catch (RequestRefusedException ex) {
			refuse(response, counted, "-", ex.problem(), ex.getMessage(), arrived);
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.DUTY_FAILED, "caller request", ex);
			refuse(response, counted, "-", Problem.INTERNAL, "see the log of the instance", arrived);
		}
		return true;
	}

	private void serve(Request request, Response response, Callback callback, long arrived)
			throws RequestRefusedException {
		authorise(request);
		byte[] body = BoundedBody.read(request, this.maxBodyBytes);
		CompletableFuture<Void> cancelled = new CompletableFuture<>();
		request.addFailureListener((failure) -> cancelled.complete(null));
		RoutedReply routed = this.router.route(inbound(request, body, arrived), cancelled);
		GateReply reply = routed.reply();
		if (reply.problem().isPresent()) {
			refuse(response, callback, routed.identity(), reply.problem().get(), reply.detail(), arrived);
		}
		else {
			answer(response, callback, routed.identity(), reply, arrived);
		}
	}

	private void authorise(Request request) throws RequestRefusedException {
		if (this.token.isEmpty()) {
			return;
		}
		Optional<String> presented = HttpReplies.bearerToken(request);
		if (presented.isEmpty() || !this.token.get().matches(presented.get())) {
			EventLog.log(Event.UNAUTHORISED, "callers", Request.getRemoteAddr(request), "no valid token");
			throw new RequestRefusedException(Problem.UNAUTHORIZED, "no valid bearer token");
		}
	}

	private InboundRequest inbound(Request request, byte[] body, long arrived) {
		List<HeaderField> all = Headers.all(request.getHeaders());
		List<HeaderField> passedOn = Headers.passedOn(request.getHeaders())
			.stream()
			.filter((field) -> this.token.isEmpty() || !field.name().equalsIgnoreCase("Authorization"))
			.toList();
		String query = request.getHttpURI().getQuery();
		return new InboundRequest(request.getMethod(), request.getHttpURI().getPath(),
				(query != null) ? "?" + query : "", all, passedOn, body, arrived);
	}

	private void answer(Response response, Callback callback, String identity, GateReply reply, long arrived) {
		response.setStatus(reply.status());
		reply.headers().forEach((field) -> response.getHeaders().add(field.name(), field.value()));
		response.getHeaders().put(Headers.OUTCOME, Outcome.ANSWERED.headerValue());
		response.getHeaders().put(Headers.REQUEST_ID, identity);
		if (reply.replayed()) {
			response.getHeaders().put(REPLAYED, "true");
		}
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, reply.body().length);
		log(identity, Outcome.ANSWERED, reply.status(), reply.replayed() ? "replayed" : "-", arrived);
		response.write(true, ByteBuffer.wrap(reply.body()), callback);
	}

	private void refuse(Response response, Callback callback, String identity, Problem problem, String detail,
			long arrived) {
		response.getHeaders().put(Headers.OUTCOME, problem.outcome().headerValue());
		if (!identity.equals("-")) {
			response.getHeaders().put(Headers.REQUEST_ID, identity);
		}
		if (problem.outcome() == Outcome.NOT_RUN && problem.status() >= 429) {
			response.getHeaders().put(HttpHeader.RETRY_AFTER, "1");
		}
		log(identity, problem.outcome(), problem.status(), problem.code(), arrived);
		HttpReplies.problem(response, callback, problem.status(),
				ProblemBody.create(problem.status(), problem.code(), problem.title(), problem.outcome(), detail));
	}

	private void log(String identity, Outcome outcome, int status, String code, long arrived) {
		long elapsed = this.clock.getAsLong() - arrived;
		this.metrics.answered(outcome, elapsed);
		EventLog.log(Event.ANSWERED, identity, outcome.headerValue(), status, code,
				TimeUnit.NANOSECONDS.toMicros(elapsed));
	}

}

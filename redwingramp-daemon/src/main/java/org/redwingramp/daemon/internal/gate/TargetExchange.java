package org.redwingramp.daemon.internal.gate;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

import org.redwingramp.core.model.Outcome;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.daemon.internal.http.Headers;

/**
 * One request to a target and its answer. Thread safe.
 *
 * <p>
 * Invariant: ends as not sent only if the write permission was refused or the first byte
 * was never handed to the connection.
 */
final class TargetExchange extends BufferingResponseListener {

	private final TargetCall call;

	private final LongSupplier clock;

	private final CompletableFuture<TargetAnswer> answer = new CompletableFuture<>();

	private volatile boolean refused;

	private volatile long writtenAt;

	TargetExchange(TargetCall call, LongSupplier clock, int maxAnswerBytes) {
		super(maxAnswerBytes);
		this.call = call;
		this.clock = clock;
	}

	CompletableFuture<TargetAnswer> answer() {
		return this.answer;
	}

	// Called by the client immediately before it writes the request. An abort here stops
	// the write.
	void beforeWrite(Request request) {
		if (this.call.mayWrite().getAsBoolean()) {
			this.writtenAt = this.clock.getAsLong();
			return;
		}
		this.refused = true;
		request.abort(new CancellationException("sending is no longer permitted"));
	}

	@Override
	public void onComplete(Result result) {
		this.answer.complete(conclude(result));
	}

	private TargetAnswer conclude(Result result) {
		if (this.refused) {
			return new TargetAnswer.NotSent("sending is no longer permitted", false);
		}
		if (this.writtenAt == 0) {
			return new TargetAnswer.NotSent(String.valueOf(result.getFailure()), true);
		}
		long elapsed = this.clock.getAsLong() - this.writtenAt;
		if (result.isFailed()) {
			return new TargetAnswer.Lost(String.valueOf(result.getFailure()), elapsed, this.answer.isCancelled());
		}
		return check(result.getResponse(), elapsed);
	}

	private TargetAnswer check(Response response, long elapsed) {
		String echoed = response.getHeaders().get(Headers.REQUEST_ID);
		if (echoed != null && !echoed.equals(this.call.requestId())) {
			return drop("the answer is for request " + echoed, elapsed);
		}
		if (!lengthKnown(response)) {
			return drop("the answer's length is not known", elapsed);
		}
		boolean notRun = Outcome.NOT_RUN.headerValue().equals(response.getHeaders().get(Headers.OUTCOME));
		if (notRun && echoed != null) {
			return new TargetAnswer.RefusedByTarget(response.getStatus(), elapsed);
		}
		return new TargetAnswer.Whole(response.getStatus(), Headers.passedOn(response.getHeaders()), getContent(),
				elapsed);
	}

	private boolean lengthKnown(Response response) {
		int status = response.getStatus();
		boolean bodyless = HttpMethod.HEAD.is(this.call.method()) || status == HttpStatus.NO_CONTENT_204
				|| status == HttpStatus.NOT_MODIFIED_304;
		return bodyless || response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
				|| response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, "chunked");
	}

	private TargetAnswer drop(String reason, long elapsed) {
		EventLog.log(Event.ANSWER_DROPPED, this.call.requestId(), this.call.target(), reason);
		return new TargetAnswer.Lost(reason, elapsed, false);
	}

}

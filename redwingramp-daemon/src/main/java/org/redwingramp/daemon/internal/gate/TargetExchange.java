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
 * Receives the response to one request to a target and determines the result of the call.
 * Thread safe.
 *
 * <p>
 * Invariant: the result is {@link TargetCallResult.NotSent} only if the permission to
 * write was refused or the write of the request never began.
 */
final class TargetExchange extends BufferingResponseListener {

	private final TargetCall call;

	private final LongSupplier clock;

	private final CompletableFuture<TargetCallResult> callResult = new CompletableFuture<>();

	private volatile boolean writeRefused;

	private volatile long writeStartNanos;

	TargetExchange(TargetCall call, LongSupplier clock, int maxAnswerBytes) {
		super(maxAnswerBytes);
		this.call = call;
		this.clock = clock;
	}

	CompletableFuture<TargetCallResult> callResult() {
		return this.callResult;
	}

	/**
	 * Called by the client immediately before it writes the request. Aborting the request
	 * at this point prevents the write.
	 * @param request the request to be written
	 */
	void beforeWrite(Request request) {
		if (this.call.mayWrite().getAsBoolean()) {
			this.writeStartNanos = this.clock.getAsLong();
			return;
		}
		this.writeRefused = true;
		request.abort(new CancellationException("the leases or the view no longer permit sending"));
	}

	@Override
	public void onComplete(Result result) {
		this.callResult.complete(toCallResult(result));
	}

	private TargetCallResult toCallResult(Result result) {
		if (this.writeRefused) {
			return new TargetCallResult.NotSent("the leases or the view no longer permit sending", false);
		}
		if (this.writeStartNanos == 0) {
			return new TargetCallResult.NotSent(String.valueOf(result.getFailure()), true);
		}
		long elapsed = this.clock.getAsLong() - this.writeStartNanos;
		if (result.isFailed()) {
			return new TargetCallResult.OutcomeUnknown(String.valueOf(result.getFailure()), elapsed,
					this.callResult.isCancelled());
		}
		return checkResponse(result.getResponse(), elapsed);
	}

	private TargetCallResult checkResponse(Response response, long elapsed) {
		String echoed = response.getHeaders().get(Headers.REQUEST_ID);
		if (echoed != null && !echoed.equals(this.call.requestId())) {
			return discard("the response is for request " + echoed, elapsed);
		}
		if (!endDetermined(response)) {
			return discard("the response has neither a Content-Length nor chunked encoding", elapsed);
		}
		boolean notRun = Outcome.NOT_RUN.headerValue().equals(response.getHeaders().get(Headers.OUTCOME));
		if (notRun && echoed != null) {
			return new TargetCallResult.RefusedByTarget(response.getStatus(), elapsed);
		}
		return new TargetCallResult.Complete(response.getStatus(), Headers.forwardedFields(response.getHeaders()),
				getContent(), elapsed);
	}

	private boolean endDetermined(Response response) {
		int status = response.getStatus();
		boolean withoutBody = HttpMethod.HEAD.is(this.call.method()) || status == HttpStatus.NO_CONTENT_204
				|| status == HttpStatus.NOT_MODIFIED_304;
		return withoutBody || response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
				|| response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, "chunked");
	}

	private TargetCallResult discard(String reason, long elapsed) {
		EventLog.log(Event.ANSWER_DROPPED, this.call.requestId(), this.call.target(), reason);
		return new TargetCallResult.OutcomeUnknown(reason, elapsed, false);
	}

}

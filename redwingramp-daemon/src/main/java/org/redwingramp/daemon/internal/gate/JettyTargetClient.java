package org.redwingramp.daemon.internal.gate;

import java.nio.channels.ClosedChannelException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;

import org.redwingramp.daemon.internal.http.Headers;

/**
 * Sends requests to targets with Jetty's HTTP client, which closes a connection on which
 * a request failed, timed out or was cancelled and does not reuse it. Thread safe.
 *
 * <p>
 * Invariant: a response counts as complete only if its length is declared or it is sent
 * in chunks, if its body was received to the end, and if the request identity, where the
 * target echoes it, is that of the request.
 */
final class JettyTargetClient implements TargetClient {

	private final HttpClient client;

	private final LongSupplier clock;

	private final int maxAnswerBytes;

	JettyTargetClient(HttpClient client, LongSupplier clock, int maxAnswerBytes) {
		this.client = client;
		this.clock = clock;
		this.maxAnswerBytes = maxAnswerBytes;
	}

	@Override
	public CompletableFuture<TargetCallResult> send(TargetCall call) {
		long remaining = call.deadline() - this.clock.getAsLong();
		if (remaining <= 0) {
			return CompletableFuture
				.completedFuture(new TargetCallResult.NotSent("the deadline passed before the request was sent", true));
		}
		Request request = request(call, remaining);
		TargetExchange exchange = new TargetExchange(call, this.clock, this.maxAnswerBytes);
		request.onRequestBegin(exchange::beforeWrite);
		exchange.callResult().whenComplete((result, failure) -> {
			if (exchange.callResult().isCancelled()) {
				request.abort(new ClosedChannelException());
			}
		});
		request.send(exchange);
		return exchange.callResult();
	}

	private Request request(TargetCall call, long remainingNanos) {
		long remainingMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
		Request request = this.client.newRequest("http://" + call.address())
			.path(call.path())
			.method(call.method())
			.timeout(remainingNanos, TimeUnit.NANOSECONDS)
			.headers((headers) -> {
				call.headers().forEach((field) -> headers.add(field.name(), field.value()));
				headers.put(Headers.REQUEST_ID, call.requestId());
				headers.put(Headers.DEADLINE, Long.toString(remainingMillis));
				headers.put(Headers.GATE_EPOCH, Long.toString(call.gateEpoch()));
				if (call.shard() != null) {
					headers.put(Headers.SHARD, call.shard().toString());
					headers.put(Headers.FENCE, Long.toString(call.fence()));
				}
			});
		if (call.body().length > 0) {
			String type = request.getHeaders().get(HttpHeader.CONTENT_TYPE);
			request.body(new BytesRequestContent((type != null) ? type : "application/octet-stream", call.body()));
		}
		return request;
	}

}

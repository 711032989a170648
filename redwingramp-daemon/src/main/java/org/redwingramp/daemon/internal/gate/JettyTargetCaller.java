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
 * Sends requests to targets by Jetty's client. A connection on which a request failed,
 * timed out or was cancelled is closed by the client and never reused. Thread safe.
 *
 * <p>
 * Invariant: an answer is whole only if its length was announced and met and its request
 * identity, if the target echoes it, is that of the request.
 */
final class JettyTargetCaller implements TargetCaller {

	private final HttpClient client;

	private final LongSupplier clock;

	private final int maxAnswerBytes;

	JettyTargetCaller(HttpClient client, LongSupplier clock, int maxAnswerBytes) {
		this.client = client;
		this.clock = clock;
		this.maxAnswerBytes = maxAnswerBytes;
	}

	@Override
	public CompletableFuture<TargetAnswer> send(TargetCall call) {
		long remaining = call.deadline() - this.clock.getAsLong();
		if (remaining <= 0) {
			return CompletableFuture.completedFuture(new TargetAnswer.NotSent("deadline passed", true));
		}
		Request request = request(call, remaining);
		TargetExchange exchange = new TargetExchange(call, this.clock, this.maxAnswerBytes);
		request.onRequestBegin(exchange::beforeWrite);
		exchange.answer().whenComplete((answer, failure) -> {
			if (exchange.answer().isCancelled()) {
				request.abort(new ClosedChannelException());
			}
		});
		request.send(exchange);
		return exchange.answer();
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

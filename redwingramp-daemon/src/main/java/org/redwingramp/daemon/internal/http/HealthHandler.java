package org.redwingramp.daemon.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Health and readiness for the platform's balancer, and metrics. Needs no credential.
 * Thread safe.
 */
public final class HealthHandler extends Handler.Abstract {

	private static final String PLAIN = "text/plain; charset=utf-8";

	private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

	private final Supplier<Boolean> healthy;

	private final Supplier<Boolean> ready;

	private final Supplier<String> metrics;

	public HealthHandler(Supplier<Boolean> healthy, Supplier<Boolean> ready, Supplier<String> metrics) {
		this.healthy = healthy;
		this.ready = ready;
		this.metrics = metrics;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		switch (request.getHttpURI().getPath()) {
			case "/health" -> state(response, callback, this.healthy.get());
			case "/ready" -> state(response, callback, this.ready.get());
			case "/metrics" -> HttpReplies.write(response, callback, 200, PROMETHEUS,
					this.metrics.get().getBytes(StandardCharsets.UTF_8));
			default -> {
				return false;
			}
		}
		return true;
	}

	private static void state(Response response, Callback callback, boolean good) {
		HttpReplies.write(response, callback, good ? 200 : 503, PLAIN,
				(good ? "ok\n" : "no\n").getBytes(StandardCharsets.UTF_8));
	}

}

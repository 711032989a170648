package org.redwingramp.daemon.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves health and readiness checks for the platform's load balancer, and metrics for
 * Prometheus. Requires no credential. Thread safe.
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
			case "/health" -> writeState(response, callback, this.healthy.get());
			case "/ready" -> writeState(response, callback, this.ready.get());
			case "/metrics" -> HttpMessages.write(response, callback, 200, PROMETHEUS,
					this.metrics.get().getBytes(StandardCharsets.UTF_8));
			default -> {
				return false;
			}
		}
		return true;
	}

	private static void writeState(Response response, Callback callback, boolean good) {
		HttpMessages.write(response, callback, good ? 200 : 503, PLAIN,
				(good ? "ok\n" : "no\n").getBytes(StandardCharsets.UTF_8));
	}

}

package org.redwingramp.node.events;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.redwingramp.node.http.Header;
import org.redwingramp.node.http.HttpExchange;
import org.redwingramp.node.http.HttpLimits;
import org.redwingramp.node.http.HttpResponse;
import org.redwingramp.node.http.HttpServer;
import org.redwingramp.node.loop.EventLoop;

/**
 * Serves the metrics of a process in the Prometheus text format at {@code /metrics}.
 * Stateless; it runs in the event loop's thread.
 */
public final class MetricsServer {

	/** A request for metrics has a small head and no body. */
	private static final HttpLimits LIMITS = new HttpLimits(8192, 0, 3_000_000_000L, 15_000_000_000L);

	private MetricsServer() {
	}

	/**
	 * Starts an HTTP server for metrics.
	 * @param loop the event loop
	 * @param address the address to listen on
	 * @param metrics the metrics to serve
	 * @throws IOException if the address can't be bound
	 */
	public static void start(EventLoop loop, InetSocketAddress address, NodeMetrics metrics) throws IOException {
		HttpServer.start(loop, address, () -> LIMITS, (exchange) -> respond(exchange, metrics));
	}

	private static void respond(HttpExchange exchange, NodeMetrics metrics) {
		if (!exchange.request().path().equals("/metrics")) {
			exchange.respond(HttpResponse.empty(404));
			return;
		}
		exchange.respond(new HttpResponse(200, List.of(new Header("Content-Type", "text/plain; version=0.0.4")),
				metrics.text().getBytes(StandardCharsets.UTF_8)));
	}

}

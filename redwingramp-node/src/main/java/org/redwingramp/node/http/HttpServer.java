package org.redwingramp.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import org.eclipse.jetty.http.HttpParser;

import org.redwingramp.node.loop.EventLoop;

/**
 * Accepts HTTP connections. Not thread safe; it belongs to the loop's thread.
 */
public final class HttpServer {

	/** How often connections are checked for their time limits. */
	private static final long SWEEP_NANOS = 1_000_000_000L;

	private final Set<ServerConnection> connections = new HashSet<>();

	private final Supplier<HttpLimits> limits;

	private final HttpHandler handler;

	private boolean draining;

	private HttpServer(Supplier<HttpLimits> limits, HttpHandler handler) {
		this.limits = limits;
		this.handler = handler;
	}

	/**
	 * Starts a server.
	 * @param loop the event loop
	 * @param address the address to listen on
	 * @param limits what it accepts, asked for each connection
	 * @param handler handles the requests
	 * @return the server
	 * @throws IOException if the address can't be used
	 */
	public static HttpServer start(EventLoop loop, InetSocketAddress address, Supplier<HttpLimits> limits,
			HttpHandler handler) throws IOException {
		HttpServer server = new HttpServer(limits, handler);
		server.accept(loop, loop.bind(address));
		return server;
	}

	/**
	 * Creates a server that accepts nothing yet.
	 * @param limits what it accepts, asked for each connection
	 * @param handler handles the requests
	 * @return the server
	 */
	public static HttpServer idle(Supplier<HttpLimits> limits, HttpHandler handler) {
		return new HttpServer(limits, handler);
	}

	/**
	 * Serves the connections to a bound address from now on.
	 * @param loop the event loop
	 * @param socket the listening socket
	 * @throws IOException if the socket was closed
	 */
	public void accept(EventLoop loop, ServerSocketChannel socket) throws IOException {
		loop.accept(socket, (tcp) -> {
			ServerConnection connection = new ServerConnection(this, tcp, this.limits.get());
			this.connections.add(connection);
			return connection;
		});
		loop.repeat(SWEEP_NANOS, this::sweep);
	}

	/**
	 * Loads the parser of requests, which takes a good part of a second of a small
	 * instance. Thread safe.
	 */
	public static void warmUp() {
		HttpParser.CACHE.size();
	}

	/**
	 * Closes idle connections and lets each other one end with its response. New
	 * connections are still served.
	 */
	public void drain() {
		this.draining = true;
		List.copyOf(this.connections).forEach(ServerConnection::closeIfIdle);
	}

	/**
	 * Returns the number of requests that wait for their response.
	 * @return the number of requests
	 */
	public long inFlight() {
		return this.connections.stream().filter(ServerConnection::busy).count();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number of connections
	 */
	public int connections() {
		return this.connections.size();
	}

	boolean draining() {
		return this.draining;
	}

	void handle(HttpExchange exchange) {
		this.handler.handle(exchange);
	}

	void ended(ServerConnection connection) {
		this.connections.remove(connection);
	}

	private void sweep() {
		long now = System.nanoTime();
		HttpLimits current = this.limits.get();
		List.copyOf(this.connections).forEach((connection) -> connection.checkTimes(now, current));
	}

}

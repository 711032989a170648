package org.redwingramp.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.eclipse.jetty.http.HttpParser;

import org.redwingramp.node.loop.EventLoop;

/**
 * An HTTP/1.1 server on an event loop. Not thread safe; it is confined to the event
 * loop's thread.
 */
public final class HttpServer {

	/** The interval at which connections are checked for expired timeouts. */
	private static final long TIMEOUT_CHECK_NANOS = 1_000_000_000L;

	private final Set<ServerConnection> connections = new HashSet<>();

	private final Supplier<HttpLimits> limits;

	private final HttpHandler handler;

	private final BodyMemoryLimit memory;

	private BodyRefusedListener bodyRefusedListener = (target, headers, bytes) -> {
	};

	private BooleanSupplier closing = () -> false;

	private boolean draining;

	private HttpServer(Supplier<HttpLimits> limits, HttpHandler handler, BodyMemoryLimit memory) {
		this.limits = limits;
		this.handler = handler;
		this.memory = memory;
	}

	/**
	 * Starts a server that listens on an address.
	 * @param loop the event loop
	 * @param address the address to listen on
	 * @param limits supplies the limits; a connection keeps those of its start, except
	 * for the idle timeout, of which the current value applies
	 * @param handler handles the requests
	 * @return the server
	 * @throws IOException if the address can't be bound
	 */
	public static HttpServer start(EventLoop loop, InetSocketAddress address, Supplier<HttpLimits> limits,
			HttpHandler handler) throws IOException {
		return start(loop, address, limits, handler, BodyMemoryLimit.forRequests());
	}

	/**
	 * Starts a server that listens on an address.
	 * @param loop the event loop
	 * @param address the address to listen on
	 * @param limits supplies the limits
	 * @param handler handles the requests
	 * @param memory limits the memory for the bodies of requests
	 * @return the server
	 * @throws IOException if the address can't be bound
	 */
	public static HttpServer start(EventLoop loop, InetSocketAddress address, Supplier<HttpLimits> limits,
			HttpHandler handler, BodyMemoryLimit memory) throws IOException {
		HttpServer server = new HttpServer(limits, handler, memory);
		server.accept(loop, loop.bind(address));
		return server;
	}

	/**
	 * Creates a server that doesn't accept connections until {@link #accept} is called.
	 * @param limits supplies the limits; a connection keeps those of its start, except
	 * for the idle timeout, of which the current value applies
	 * @param handler handles the requests
	 * @return the server
	 */
	public static HttpServer create(Supplier<HttpLimits> limits, HttpHandler handler) {
		return new HttpServer(limits, handler, BodyMemoryLimit.forRequests());
	}

	/**
	 * Sets what is told of requests that are refused since their body doesn't fit into
	 * the memory.
	 * @param listener the listener
	 */
	public void onBodyRefused(BodyRefusedListener listener) {
		this.bodyRefusedListener = listener;
	}

	/**
	 * Starts to serve the connections to a bound address.
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
		loop.repeat(TIMEOUT_CHECK_NANOS, this::closeTimedOut);
	}

	/**
	 * Loads the classes of the request parser, which takes a good part of a second on a
	 * small instance. Thread safe.
	 */
	public static void warmUp() {
		HttpParser.CACHE.size();
	}

	/**
	 * Closes idle connections. Each other connection is closed after its next response.
	 * New connections are still accepted and served.
	 */
	public void drain() {
		this.draining = true;
		List.copyOf(this.connections).forEach(ServerConnection::closeIfIdle);
	}

	/**
	 * Sets when connections are closed after their next response, so that callers open
	 * them elsewhere.
	 * @param condition whether they are closed at present
	 */
	public void closeConnectionsWhile(BooleanSupplier condition) {
		this.closing = condition;
	}

	/**
	 * Returns the number of requests whose responses aren't written yet.
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

	BodyMemoryLimit memory() {
		return this.memory;
	}

	void bodyRefused(String target, List<Header> headers, long bytes) {
		this.bodyRefusedListener.bodyRefused(target, headers, bytes);
	}

	boolean closesAfterResponse() {
		return this.draining || this.closing.getAsBoolean();
	}

	void handle(HttpExchange exchange) {
		this.handler.handle(exchange);
	}

	void connectionClosed(ServerConnection connection) {
		this.connections.remove(connection);
	}

	private void closeTimedOut() {
		long now = System.nanoTime();
		HttpLimits current = this.limits.get();
		List.copyOf(this.connections).forEach((connection) -> connection.closeIfTimedOut(now, current));
	}

	/** Receives the requests whose body is refused. */
	public interface BodyRefusedListener {

		/**
		 * Called when a request is refused.
		 * @param target the request target
		 * @param headers the header fields
		 * @param bytes the memory that its body needs at least
		 */
		void bodyRefused(String target, List<Header> headers, long bytes);

	}

}

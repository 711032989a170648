package org.redwingramp.node.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.Timer;

/**
 * The connections to one target. Idle ones are used again, the latest first. Not thread
 * safe; it belongs to the loop's thread.
 */
public final class TargetConnections {

	/**
	 * How long a connection may take to be established. A lost packet is sent again after
	 * a second only, so waiting longer rarely helps.
	 */
	private static final long CONNECT_TIMEOUT_NANOS = 400_000_000L;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final AnswerMemory memory;

	private final Deque<ClientConnection> idle = new ArrayDeque<>();

	private final Set<ClientConnection> open = new HashSet<>();

	private long opened;

	/**
	 * Creates an empty set of connections.
	 * @param loop the event loop
	 * @param address the target's address
	 * @param memory where unfinished answers are counted
	 */
	public TargetConnections(EventLoop loop, InetSocketAddress address, AnswerMemory memory) {
		this.loop = loop;
		this.address = address;
		this.memory = memory;
	}

	/**
	 * Creates an empty set of connections.
	 * @param loop the event loop
	 * @param address the target's address, {@code ip:port}
	 * @param memory where unfinished answers are counted
	 * @return the connections
	 */
	public static TargetConnections to(EventLoop loop, String address, AnswerMemory memory) {
		int colon = address.lastIndexOf(':');
		return new TargetConnections(loop,
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				memory);
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param timeoutNanos when the call is given up, in nanoseconds from now
	 * @param fresh whether a new connection has to be used
	 * @param listener hears the outcome
	 * @return the call
	 */
	public Call send(HttpRequest request, long timeoutNanos, boolean fresh, ClientListener listener) {
		ClientConnection connection = (fresh ? Optional.<ClientConnection>empty() : takeIdle()).orElseGet(this::open);
		Timer timeout = this.loop.schedule(timeoutNanos, connection::timeOut);
		Timer connect = this.loop.schedule(Math.min(timeoutNanos, CONNECT_TIMEOUT_NANOS), () -> {
			if (!connection.established()) {
				connection.timeOut();
			}
		});
		Call call = new Call(connection, timeout, connect);
		connection.send(MessageText.request(request), request.method().equals("HEAD"), call.guarded(listener));
		return call;
	}

	/**
	 * Returns the number of connections opened so far.
	 * @return the number of connections
	 */
	public long opened() {
		return this.opened;
	}

	/**
	 * Closes the connections that were idle for too long.
	 */
	public void dropStale() {
		long now = System.nanoTime();
		List.copyOf(this.idle)
			.stream()
			.filter((connection) -> !connection.usable(now))
			.forEach(ClientConnection::close);
	}

	/**
	 * Closes all connections that no call uses.
	 */
	public void closeIdle() {
		List.copyOf(this.idle).forEach(ClientConnection::close);
	}

	void idle(ClientConnection connection) {
		this.idle.addLast(connection);
	}

	void ended(ClientConnection connection) {
		this.idle.remove(connection);
		this.open.remove(connection);
	}

	private Optional<ClientConnection> takeIdle() {
		dropStale();
		return Optional.ofNullable(this.idle.pollLast());
	}

	private ClientConnection open() {
		this.opened++;
		ClientConnection connection = new ClientConnection(this.loop, this.address, this, this.memory);
		this.open.add(connection);
		return connection;
	}

	/**
	 * A call on its way. Not thread safe.
	 */
	public static final class Call {

		private final ClientConnection connection;

		private final Timer timeout;

		private final Timer connect;

		private boolean over;

		Call(ClientConnection connection, Timer timeout, Timer connect) {
			this.connection = connection;
			this.timeout = timeout;
			this.connect = connect;
		}

		/**
		 * Closes the connection, which ends the work at the target. The listener hears
		 * nothing more.
		 */
		public void cancel() {
			if (!this.over) {
				end();
				this.connection.cancel();
			}
		}

		private void end() {
			this.over = true;
			this.timeout.cancel();
			this.connect.cancel();
		}

		private ClientListener guarded(ClientListener listener) {
			return new ClientListener() {

				@Override
				public boolean accepts(HttpResponse response) {
					return listener.accepts(response);
				}

				@Override
				public void answered(HttpResponse response) {
					end();
					listener.answered(response);
				}

				@Override
				public void failed(CallFailure failure) {
					end();
					listener.failed(failure);
				}

			};
		}

	}

}

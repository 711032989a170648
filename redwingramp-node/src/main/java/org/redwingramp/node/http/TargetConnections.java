package org.redwingramp.node.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.Timer;

/**
 * A pool of connections to one target. Idle connections are reused, the most recently
 * used one first. Not thread safe; it is confined to the event loop's thread.
 */
public final class TargetConnections {

	/**
	 * The connect timeout. TCP retransmits a lost packet of the handshake only after a
	 * second, so a slightly longer timeout rarely helps.
	 */
	private static final long CONNECT_TIMEOUT_NANOS = 400_000_000L;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final BodyMemoryLimit memory;

	private final Deque<ClientConnection> idle = new ArrayDeque<>();

	private final Set<ClientConnection> open = new HashSet<>();

	private long opened;

	/**
	 * Creates an empty pool.
	 * @param loop the event loop
	 * @param address the target's address
	 * @param memory limits the memory for incomplete responses
	 */
	public TargetConnections(EventLoop loop, InetSocketAddress address, BodyMemoryLimit memory) {
		this.loop = loop;
		this.address = address;
		this.memory = memory;
	}

	/**
	 * Sends a request on an idle connection or on a new one.
	 * @param request the request
	 * @param timeoutNanos the timeout of the call, in nanoseconds
	 * @param listener receives the outcome
	 * @return the call, to cancel it
	 */
	public Call send(HttpRequest request, long timeoutNanos, ClientListener listener) {
		return send(request, timeoutNanos, List.of(), listener);
	}

	/**
	 * Sends a request that may have been sent before with the same identifier. It doesn't
	 * use the connections of the former calls: a late copy of the response to one of them
	 * would be taken for the response to this one.
	 * @param request the request
	 * @param timeoutNanos the timeout of the call, in nanoseconds
	 * @param formerCalls the former calls with the same identifier
	 * @param listener receives the outcome
	 * @return the call, to cancel it
	 */
	public Call send(HttpRequest request, long timeoutNanos, Collection<Call> formerCalls, ClientListener listener) {
		return send(request, timeoutNanos, takeIdle(formerCalls).orElseGet(this::open), listener);
	}

	/**
	 * Sends a request on a new connection, on which no response to another call can be
	 * pending.
	 * @param request the request
	 * @param timeoutNanos the timeout of the call, in nanoseconds
	 * @param listener receives the outcome
	 * @return the call, to cancel it
	 */
	public Call sendOnNewConnection(HttpRequest request, long timeoutNanos, ClientListener listener) {
		return send(request, timeoutNanos, open(), listener);
	}

	private Call send(HttpRequest request, long timeoutNanos, ClientConnection connection, ClientListener listener) {
		Timer callTimer = this.loop.schedule(timeoutNanos, connection::timeOut);
		long connectTimeoutNanos = Math.min(timeoutNanos, CONNECT_TIMEOUT_NANOS);
		Timer connectTimer = this.loop.schedule(connectTimeoutNanos, () -> {
			if (!connection.established()) {
				connection.timeOut();
			}
		});
		Call call = new Call(connection, callTimer, connectTimer);
		connection.send(request, connectTimeoutNanos, call.endingCall(listener));
		return call;
	}

	/**
	 * Returns the address of the target.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Returns the number of connections opened so far.
	 * @return the number of connections
	 */
	public long opened() {
		return this.opened;
	}

	/**
	 * Closes the idle connections that the target may be about to close.
	 */
	public void closeExpired() {
		long now = System.nanoTime();
		List.copyOf(this.idle)
			.stream()
			.filter((connection) -> !connection.reusable(now))
			.forEach(ClientConnection::close);
	}

	/**
	 * Closes all idle connections.
	 */
	public void closeIdle() {
		List.copyOf(this.idle).forEach(ClientConnection::close);
	}

	void connectionIdle(ClientConnection connection) {
		this.idle.addLast(connection);
	}

	void connectionClosed(ClientConnection connection) {
		this.idle.remove(connection);
		this.open.remove(connection);
	}

	private Optional<ClientConnection> takeIdle(Collection<Call> formerCalls) {
		closeExpired();
		Iterator<ClientConnection> candidates = this.idle.descendingIterator();
		while (candidates.hasNext()) {
			ClientConnection candidate = candidates.next();
			if (formerCalls.stream().noneMatch((call) -> call.connection == candidate)) {
				candidates.remove();
				return Optional.of(candidate);
			}
		}
		return Optional.empty();
	}

	private ClientConnection open() {
		this.opened++;
		ClientConnection connection = new ClientConnection(this.loop, this.address, this, this.memory);
		this.open.add(connection);
		return connection;
	}

	/**
	 * A call in flight. Not thread safe.
	 */
	public static final class Call {

		private final ClientConnection connection;

		private final Timer callTimer;

		private final Timer connectTimer;

		private boolean ended;

		Call(ClientConnection connection, Timer callTimer, Timer connectTimer) {
			this.connection = connection;
			this.callTimer = callTimer;
			this.connectTimer = connectTimer;
		}

		/**
		 * Cancels the call by closing its connection, which tells the target to stop work
		 * on it. The listener isn't called any more.
		 */
		public void cancel() {
			if (!this.ended) {
				end();
				this.connection.cancel();
			}
		}

		private void end() {
			this.ended = true;
			this.callTimer.cancel();
			this.connectTimer.cancel();
		}

		private ClientListener endingCall(ClientListener listener) {
			return new ClientListener() {

				@Override
				public ResponseMatch match(HttpResponse response) {
					return listener.match(response);
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

package org.redwingramp.wire.internal;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * Closes connections whose deadline passed, since a blocked read or write of a socket has
 * no deadline of its own. Thread safe; one thread for all connections.
 */
public final class ConnectionWatch implements AutoCloseable {

	/** How late a deadline may be noticed; a shorter period costs more wake-ups. */
	private static final long PERIOD_NANOS = 20_000_000;

	private final Set<FrameTransport> connections = ConcurrentHashMap.newKeySet();

	private final Thread thread;

	private volatile boolean running = true;

	/**
	 * Creates a watch.
	 * @param owner what the connections are for, used in the thread's name
	 */
	public ConnectionWatch(String owner) {
		this.thread = new Thread(this::run, "wire-watch-" + owner);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	void add(FrameTransport connection) {
		this.connections.add(connection);
		if (!this.running) {
			connection.close();
		}
	}

	void remove(FrameTransport connection) {
		this.connections.remove(connection);
	}

	private void run() {
		while (this.running) {
			LockSupport.parkNanos(PERIOD_NANOS);
			long now = System.nanoTime();
			this.connections.forEach((connection) -> connection.closeIfOverdue(now));
		}
	}

	/** Closes all connections and ends the thread. */
	@Override
	public void close() {
		this.running = false;
		LockSupport.unpark(this.thread);
		this.connections.forEach(FrameTransport::close);
	}

}

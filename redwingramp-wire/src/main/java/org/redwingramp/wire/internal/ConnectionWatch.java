package org.redwingramp.wire.internal;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * Closes connections whose deadline has passed, since blocking reads and writes of a
 * socket channel have no timeout. One thread checks all connections. Thread safe.
 */
public final class ConnectionWatch implements AutoCloseable {

	/**
	 * The maximum delay in detecting a passed deadline; a shorter one costs more
	 * wake-ups.
	 */
	private static final long CHECK_INTERVAL_NANOS = 20_000_000;

	private final Set<FrameTransport> connections = ConcurrentHashMap.newKeySet();

	private final Thread thread;

	private volatile boolean running = true;

	/**
	 * Starts the thread that checks the deadlines.
	 * @param owner the owner of the connections, used in the thread's name
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
			LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
			long now = System.nanoTime();
			this.connections.forEach((connection) -> connection.closeIfTimedOut(now));
		}
	}

	/** Closes all connections and stops the thread. */
	@Override
	public void close() {
		this.running = false;
		LockSupport.unpark(this.thread);
		this.connections.forEach(FrameTransport::close);
	}

}

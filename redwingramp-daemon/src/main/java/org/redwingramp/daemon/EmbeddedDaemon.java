package org.redwingramp.daemon;

import org.redwingramp.daemon.internal.runtime.RunningDaemon;
import org.redwingramp.records.Settings;

/**
 * A daemon that runs inside another process, for programs that embed redwingramp and for
 * tests. It has the roles that the settings list and leaves the logging of the process
 * unchanged. Thread safe.
 *
 * <p>
 * Invariant: after {@link #close()} no thread, port or file of the daemon is left open.
 */
public final class EmbeddedDaemon implements AutoCloseable {

	private final RunningDaemon running;

	private EmbeddedDaemon(RunningDaemon running) {
		this.running = running;
	}

	/**
	 * Starts a daemon.
	 * @param settings the parsed and validated settings
	 * @return the running daemon
	 * @throws DaemonException if the data folder or a port can't be used
	 */
	public static EmbeddedDaemon start(Settings settings) throws DaemonException {
		return new EmbeddedDaemon(RunningDaemon.start(settings));
	}

	/**
	 * Returns whether the daemon is ready to accept requests.
	 * @return whether it is ready
	 */
	public boolean ready() {
		return this.running.ready();
	}

	/**
	 * Stops the daemon gracefully: hands over its gates, waits for requests in flight,
	 * then closes its connections. Takes from one second up to about half a minute.
	 * @throws DaemonException if a component can't be stopped
	 */
	@Override
	public void close() throws DaemonException {
		this.running.stop();
	}

}

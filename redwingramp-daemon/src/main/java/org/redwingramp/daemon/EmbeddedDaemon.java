package org.redwingramp.daemon;

import org.redwingramp.daemon.internal.runtime.RunningDaemon;
import org.redwingramp.records.Settings;

/**
 * A daemon inside another process, for programs that embed redwingramp and for tests. It
 * has the roles that the settings state and leaves the process's logging as it is. Thread
 * safe.
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
	 * @param settings the settings, as parsed and checked
	 * @return the running daemon
	 * @throws DaemonException if the data folder or a port can't be used
	 */
	public static EmbeddedDaemon start(Settings settings) throws DaemonException {
		return new EmbeddedDaemon(RunningDaemon.start(settings));
	}

	/**
	 * Returns whether the daemon takes requests.
	 * @return whether it is ready
	 */
	public boolean ready() {
		return this.running.ready();
	}

	/**
	 * Stops the daemon gracefully: hands over what it holds, waits for requests under
	 * way, then closes its connections. Takes from one second up to about half a minute.
	 * @throws DaemonException if a part can't be stopped
	 */
	@Override
	public void close() throws DaemonException {
		this.running.stop();
	}

}

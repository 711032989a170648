package org.redwingramp.daemon.internal.runtime;

import java.nio.file.Path;
import java.util.Optional;

import org.redwingramp.daemon.DaemonException;
import org.redwingramp.daemon.internal.control.ControlRole;
import org.redwingramp.daemon.internal.control.ControlRole.OpenStore;
import org.redwingramp.records.InstanceRole;
import org.redwingramp.records.Settings;
import org.redwingramp.storage.StorageException;

/**
 * A daemon that is running: creates its components, starts and stops it. Thread safe.
 */
public final class RunningDaemon {

	private final Daemon daemon;

	private final DaemonHealth health;

	private RunningDaemon(Daemon daemon, DaemonHealth health) {
		this.daemon = daemon;
		this.health = health;
	}

	/**
	 * Starts a daemon.
	 * @param settings the settings
	 * @return the running daemon
	 * @throws DaemonException if the data folder or a port can't be used
	 */
	public static RunningDaemon start(Settings settings) throws DaemonException {
		try {
			DaemonComponent component = DaggerDaemonComponent.builder()
				.daemonModule(new DaemonModule(settings, openStore(settings)))
				.build();
			Daemon daemon = component.daemon();
			daemon.start();
			return new RunningDaemon(daemon, component.health());
		}
		catch (StorageException ex) {
			throw new DaemonException("the data folder can't be used", ex);
		}
		catch (Exception ex) {
			throw new DaemonException("the daemon can't start; check that its ports are free", ex);
		}
	}

	private static Optional<OpenStore> openStore(Settings settings) throws StorageException {
		if (!settings.hasRole(InstanceRole.CONTROL)) {
			return Optional.empty();
		}
		Path folder = settings.control().dataFolder().orElseThrow();
		return Optional.of(ControlRole.open(folder, settings.instance().name()));
	}

	/**
	 * Returns whether the daemon is ready to accept requests.
	 * @return whether it is ready
	 */
	public boolean ready() {
		return this.health.ready();
	}

	/**
	 * Stops the daemon gracefully.
	 * @throws DaemonException if a component can't be stopped
	 */
	public void stop() throws DaemonException {
		try {
			this.daemon.stop();
		}
		catch (Exception ex) {
			throw new DaemonException("the daemon failed to stop gracefully", ex);
		}
	}

}

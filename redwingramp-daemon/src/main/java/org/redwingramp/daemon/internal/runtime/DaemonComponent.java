package org.redwingramp.daemon.internal.runtime;

import javax.inject.Singleton;

import dagger.Component;

/**
 * The dependency injection component that creates a daemon. Thread safe.
 */
@Singleton
@Component(modules = DaemonModule.class)
interface DaemonComponent {

	/**
	 * Returns the daemon, not yet started.
	 * @return the daemon
	 */
	Daemon daemon();

	/**
	 * Returns the daemon's health.
	 * @return the health
	 */
	DaemonHealth health();

}

package org.redwingramp.daemon.internal.runtime;

import java.util.Optional;

import org.redwingramp.daemon.internal.control.ControlLoop;

/**
 * Reports whether the daemon is healthy and whether it is ready to accept requests.
 * Thread safe.
 */
final class DaemonHealth {

	private final Optional<ControlLoop> control;

	private final Optional<EntryRole> entry;

	private volatile boolean stopping;

	DaemonHealth(Optional<ControlLoop> control, Optional<EntryRole> entry) {
		this.control = control;
		this.entry = entry;
	}

	boolean healthy() {
		return this.control.map(ControlLoop::healthy).orElse(true);
	}

	boolean ready() {
		return !this.stopping && healthy() && this.entry.map(EntryRole::ready).orElse(true);
	}

	void markStopping() {
		this.stopping = true;
	}

}

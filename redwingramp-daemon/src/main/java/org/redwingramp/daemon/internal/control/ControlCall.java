package org.redwingramp.daemon.internal.control;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.EntryHeartbeat;

/**
 * What another daemon asks of the control leader. All implementations are immutable
 * records and thread safe.
 */
public sealed interface ControlCall {

	/**
	 * Commits a command.
	 *
	 * @param command the command
	 */
	record Propose(Command command) implements ControlCall {
	}

	/**
	 * Renews the gate lease.
	 *
	 * @param heartbeat the heartbeat
	 */
	record Heartbeat(EntryHeartbeat heartbeat) implements ControlCall {
	}

	/**
	 * Reads the view and the state of the control group.
	 *
	 * @param since the view version that the reader has, 0 for none
	 */
	record ReadView(long since) implements ControlCall {
	}

}

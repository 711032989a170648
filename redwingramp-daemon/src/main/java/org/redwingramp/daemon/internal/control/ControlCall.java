package org.redwingramp.daemon.internal.control;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.EntryHeartbeat;

/**
 * A remote call from another daemon to the control leader, answered by a
 * {@link ControlReply}. All implementations are immutable records and thread safe.
 */
public sealed interface ControlCall {

	/**
	 * Proposes a command, which the leader replicates and applies.
	 *
	 * @param command the command
	 */
	record Propose(Command command) implements ControlCall {
	}

	/**
	 * Renews the gate lease of an entry instance.
	 *
	 * @param heartbeat the heartbeat of the entry instance
	 */
	record Heartbeat(EntryHeartbeat heartbeat) implements ControlCall {
	}

	/**
	 * Reads the changes of the view and the status of the control group.
	 *
	 * @param since the view version that the caller already has, 0 for none
	 */
	record ReadView(long since) implements ControlCall {
	}

}

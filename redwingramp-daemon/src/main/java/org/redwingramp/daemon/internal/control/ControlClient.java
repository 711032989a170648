package org.redwingramp.daemon.internal.control;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;

/**
 * Reaches the control leader. Implementations are thread safe.
 */
public interface ControlClient {

	/**
	 * Calls the leader, trying other replicas while nothing was done.
	 * @param call the call
	 * @param timeoutNanos how long to try
	 * @return the reply of the leader
	 * @throws ControlUnavailableException if certainly nothing was done
	 * @throws ControlUndecidedException if it may have been done
	 */
	ControlReply call(ControlCall call, long timeoutNanos)
			throws ControlUnavailableException, ControlUndecidedException;

	/**
	 * Commits a command.
	 * @param command the command
	 * @param timeoutNanos how long to try
	 * @return the command's result
	 * @throws ControlUnavailableException if the command is certainly not committed
	 * @throws ControlUndecidedException if it may be committed
	 */
	default CommandResult propose(Command command, long timeoutNanos)
			throws ControlUnavailableException, ControlUndecidedException {
		ControlReply reply = call(new ControlCall.Propose(command), timeoutNanos);
		if (reply instanceof ControlReply.Committed committed) {
			return committed.result();
		}
		throw new ControlUndecidedException("control answered a proposal with " + reply.getClass().getSimpleName());
	}

}

package org.redwingramp.daemon.internal.control;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;

/**
 * Calls the control leader, whichever replica that is. Implementations are thread safe.
 */
public interface ControlClient {

	/**
	 * Calls the leader, trying the replicas in turn. A proposal is sent again only if it
	 * certainly had no effect.
	 * @param call the call
	 * @param timeoutNanos the time limit for all attempts together
	 * @return the reply of the leader
	 * @throws ControlUnavailableException if no leader was reached and the call had no
	 * effect
	 * @throws ControlUndecidedException if the call may or may not have taken effect
	 */
	ControlReply call(ControlCall call, long timeoutNanos)
			throws ControlUnavailableException, ControlUndecidedException;

	/**
	 * Proposes a command and waits until it is committed and applied.
	 * @param command the command
	 * @param timeoutNanos the time limit for all attempts together
	 * @return the result of applying the command
	 * @throws ControlUnavailableException if the command is certainly not committed
	 * @throws ControlUndecidedException if the command may or may not be committed
	 */
	default CommandResult propose(Command command, long timeoutNanos)
			throws ControlUnavailableException, ControlUndecidedException {
		ControlReply reply = call(new ControlCall.Propose(command), timeoutNanos);
		if (reply instanceof ControlReply.Committed committed) {
			return committed.result();
		}
		throw new ControlUndecidedException(
				"unexpected reply of the control leader to a proposal: " + reply.getClass().getSimpleName());
	}

}

package org.redwingramp.core.fleet;

import java.util.Optional;

import org.redwingramp.core.ownership.RangeLease;

/**
 * Executes the decisions of a {@link FleetController}. The methods don't block; results
 * are passed to the methods of the controller.
 */
public interface FleetOutput {

	/**
	 * Proposes a command to the replicated log.
	 * @param command the command
	 */
	void propose(FleetCommand command);

	/**
	 * Sends a grant of a range to its owner, or the renewal of one.
	 * @param lease the lease of the range
	 * @param target the owner
	 * @param via the entry instance that relays the call, or empty to send it directly
	 */
	void grant(RangeLease lease, FleetTarget target, Optional<String> via);

	/**
	 * Requests a target to stop serving a range, with the release fence of the lease.
	 * @param lease the lease of the range
	 * @param target the target
	 * @param via the entry instance that relays the call, or empty to send it directly
	 */
	void release(RangeLease lease, FleetTarget target, Optional<String> via);

	/**
	 * Reports that keys which were released for a move are served again.
	 * @param lease the lease of the new owner
	 * @param ownerlessNanos the time from the release to the grant, in nanoseconds
	 */
	void keysMoved(RangeLease lease, long ownerlessNanos);

	/**
	 * Writes a decision to the event log.
	 * @param event the name of the decision
	 * @param details the inputs and the outcome, as alternating names and values
	 */
	void decision(String event, Object... details);

	/**
	 * Reports an unexpected exception that ended the work for one element. The work for
	 * the other elements goes on.
	 * @param duty what was being done
	 * @param element the name of the element
	 * @param failure the exception
	 */
	void workFailed(String duty, String element, RuntimeException failure);

}

package org.redwingramp.core.fleet;

import java.util.Optional;

import org.redwingramp.core.ownership.RangeLease;

/**
 * What the controller wants done. Calls return at once; results come back through the
 * controller's methods.
 */
public interface FleetOutput {

	/**
	 * Proposes a command to the replicated log.
	 * @param command the command
	 */
	void propose(FleetCommand command);

	/**
	 * Sends a grant or its renewal.
	 * @param lease the lease
	 * @param target the target
	 * @param via the entry instance that passes it on, or empty to send it directly
	 */
	void grant(RangeLease lease, FleetTarget target, Optional<String> via);

	/**
	 * Tells a target to stop serving a range.
	 * @param lease the lease
	 * @param target the target
	 * @param via the entry instance that passes it on, or empty to send it directly
	 */
	void release(RangeLease lease, FleetTarget target, Optional<String> via);

	/**
	 * Notes a decision in the log.
	 * @param event what was decided
	 * @param details the inputs and the outcome as name and value pairs
	 */
	void decision(String event, Object... details);

}

package org.redwingramp.core.control;

import java.util.List;

/**
 * The leader's decisions: who is alive, which gate each target has, which target owns
 * each shard. Deterministic; reads no clock and does no I/O. Not thread safe; one thread
 * owns it. Created anew for each term that the replica leads.
 *
 * <p>
 * Invariant: nothing is given to another instance before the lease of the former holder
 * is over by this leader's clock, or the holder has handed it over.
 */
public interface Controller {

	/**
	 * Handles a heartbeat. The invoking code must have checked that the replica may read.
	 * @param heartbeat the heartbeat
	 * @param now the monotonic time in nanoseconds
	 * @return the reply
	 */
	EntryHeartbeatReply heartbeat(EntryHeartbeat heartbeat, long now);

	/**
	 * Returns the commands to propose now. A command is proposed again after a while if
	 * the state doesn't show its effect.
	 * @param now the monotonic time in nanoseconds
	 * @return the commands in order
	 */
	List<Command> tick(long now);

	/**
	 * Returns the lowest view version that the entry instances with a lease have
	 * acknowledged.
	 * @param now the monotonic time in nanoseconds
	 * @return the version that is in force everywhere
	 */
	long versionInForce(long now);

}

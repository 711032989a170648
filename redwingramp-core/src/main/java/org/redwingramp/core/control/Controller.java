package org.redwingramp.core.control;

import java.util.List;

/**
 * Makes the decisions of the control leader: which entry instances hold a gate lease,
 * which entry instance is the gate of each target and which target owns each shard.
 * Deterministic; reads no clock and does no I/O. Not thread safe; one thread owns it. A
 * new controller is created for each term that the replica leads.
 *
 * <p>
 * Invariant: a gate or shard is assigned to another instance only after the lease of the
 * previous holder has expired by this leader's clock, or after the holder has handed it
 * over.
 */
public interface Controller {

	/**
	 * Processes the heartbeat of an entry instance. The caller must have verified that
	 * this replica is still the leader and may serve reads.
	 * @param heartbeat the heartbeat
	 * @param now the monotonic time in nanoseconds
	 * @return the reply
	 */
	EntryHeartbeatReply handleHeartbeat(EntryHeartbeat heartbeat, long now);

	/**
	 * Returns the commands to propose now. A command whose effect does not appear in the
	 * state is proposed again after a delay.
	 * @param now the monotonic time in nanoseconds
	 * @return the commands, in the order in which to propose them
	 */
	List<Command> tick(long now);

	/**
	 * Returns the lowest view version acknowledged by the entry instances that hold a
	 * gate lease.
	 * @param now the monotonic time in nanoseconds
	 * @return the version that all of them have applied
	 */
	long versionInForce(long now);

}

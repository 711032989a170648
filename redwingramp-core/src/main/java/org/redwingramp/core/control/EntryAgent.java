package org.redwingramp.core.control;

import org.redwingramp.core.model.ShardId;

/**
 * An entry instance's session with the control group: its view, its gate lease, the grant
 * leases of its targets. Deterministic; reads no clock and does no I/O. Not thread safe;
 * one thread owns it, but {@link #view()} may be shared since views are immutable.
 *
 * <p>
 * Invariant: nothing is sent to a target unless the gate lease, the target's grant lease
 * and the view allow it at that moment.
 */
public interface EntryAgent {

	/**
	 * Builds the next heartbeat.
	 * @param reports what the gates report
	 * @param now the monotonic time in nanoseconds, taken before the heartbeat is sent
	 * @return the heartbeat
	 */
	EntryHeartbeat heartbeat(GateReports reports, long now);

	/**
	 * Handles the leader's reply. A reply to an unknown or older heartbeat extends
	 * nothing; an update with a lower version or another cluster is refused.
	 * @param reply the reply
	 * @param now the monotonic time in nanoseconds
	 * @throws InvariantViolatedException if the update contradicts the view; the entry
	 * must stop serving
	 */
	void reply(EntryHeartbeatReply reply, long now) throws InvariantViolatedException;

	/**
	 * Returns the view.
	 * @return the view
	 */
	ControlView view();

	/**
	 * Returns whether the view is recent enough to route by.
	 * @param now the monotonic time in nanoseconds
	 * @return whether control was heard within the view lifetime
	 */
	boolean mayRoute(long now);

	/**
	 * Returns the end of the gate lease.
	 * @return the monotonic time in nanoseconds, or {@link Long#MIN_VALUE} for none
	 */
	long gateLeaseEnd();

	/**
	 * Returns the lease that a grant to a target may name.
	 * @param target the target's name
	 * @param now the monotonic time in nanoseconds, taken before the grant is sent
	 * @return the grant to send, which names no lease until the target's clock is known
	 */
	Grant nextGrant(String target, long now);

	/**
	 * Handles a target's reply to a grant. At most one grant to a target is in flight:
	 * the next one is sent after the reply or after {@link ControlTiming} counts it as
	 * failed, and a reply that comes later than that is dropped by the invoking code.
	 * @param target the target's name
	 * @param gateEpoch the gate epoch of the grant
	 * @param reply the reply
	 * @param now the monotonic time in nanoseconds, taken when the reply arrived
	 */
	void grantReply(String target, long gateEpoch, GrantReply reply, long now);

	/**
	 * Returns whether a request may be sent to a target now.
	 * @param target the target's name
	 * @param shard the shard of the request, ignored for services without keys
	 * @param fence the shard's fence that the request was routed by
	 * @param now the monotonic time in nanoseconds, read immediately before sending
	 * @return whether it may be sent
	 */
	boolean mayDispatch(String target, ShardId shard, long fence, long now);

	/**
	 * Returns whether a target's grant lease is over and it failed to answer.
	 * @param target the target's name
	 * @param now the monotonic time in nanoseconds
	 * @return whether it is lost
	 */
	boolean lost(String target, long now);

	/**
	 * Returns whether the gate of a target is to be handed over. From then on nothing new
	 * may be sent to the target; when nothing is in flight, the gate reports it in
	 * {@link GateReports#handedOver()}.
	 * @param target the target's name
	 * @return whether the leader asked for it under the present gate epoch
	 */
	boolean handOver(String target);

	/**
	 * Reports that nothing is in flight for a shard that is being released, so that it
	 * drops out of the next grant. The agent reports the shard as released once the
	 * target has acknowledged such a grant. Ignored unless the view shows the shard as
	 * being released with this fence.
	 *
	 * <p>
	 * A request counts for the shard that its key belongs to by the view that shows the
	 * release, whatever shard it was routed by, and a request whose
	 * {@link Command.BeginRequest} is pending counts as in flight. Otherwise a request
	 * for a key that was split out of its slice could run after the key has moved.
	 * @param shard the shard
	 * @param fence its fence
	 */
	void drained(ShardId shard, long fence);

}

package org.redwingramp.core.control;

import org.redwingramp.core.model.ShardId;

/**
 * The protocol state of one entry instance: its view, its gate lease, and the grant
 * leases of the targets that it is the gate of. Deterministic; reads no clock and does no
 * I/O. Not thread safe; one thread owns it. The result of {@link #view()} is immutable
 * and may be shared.
 *
 * <p>
 * Invariant: a request may be sent to a target only while the gate lease, the target's
 * grant lease and the view all permit it.
 */
public interface EntryAgent {

	/**
	 * Builds the next heartbeat.
	 * @param reports the reports of the gates
	 * @param now the monotonic time in nanoseconds, taken before the heartbeat is sent
	 * @return the heartbeat
	 */
	EntryHeartbeat nextHeartbeat(GateReports reports, long now);

	/**
	 * Processes the leader's reply to a heartbeat. A reply to an unknown or older
	 * heartbeat does not extend the gate lease. An update with a lower version or from
	 * another control group is refused.
	 * @param reply the reply
	 * @param now the monotonic time in nanoseconds
	 * @throws InvariantViolatedException if the update contradicts the view; the entry
	 * instance must stop serving
	 */
	void handleHeartbeatReply(EntryHeartbeatReply reply, long now) throws InvariantViolatedException;

	/**
	 * Returns the current view.
	 * @return the view
	 */
	ControlView view();

	/**
	 * Returns whether the view is recent enough to route requests by.
	 * @param now the monotonic time in nanoseconds
	 * @return whether a reply of the control leader was received within the view lifetime
	 */
	boolean mayRoute(long now);

	/**
	 * Returns the end of the gate lease.
	 * @return the monotonic time in nanoseconds, or {@link Long#MIN_VALUE} if there is no
	 * lease
	 */
	long gateLeaseEnd();

	/**
	 * Builds the next grant to a target.
	 * @param target the target's name
	 * @param now the monotonic time in nanoseconds, taken before the grant is sent
	 * @return the grant to send, which contains no lease until a reply has reported the
	 * target's clock
	 */
	Grant nextGrant(String target, long now);

	/**
	 * Processes a target's reply to a grant. At most one grant to a target is in flight:
	 * the next one is sent after the reply, or after the grant timeout of
	 * {@link ControlTiming}. The caller must drop a reply that arrives after the timeout.
	 * @param target the target's name
	 * @param gateEpoch the gate epoch under which the grant was sent
	 * @param reply the reply
	 * @param now the monotonic time in nanoseconds, taken when the reply arrived
	 */
	void handleGrantReply(String target, long gateEpoch, GrantReply reply, long now);

	/**
	 * Returns whether a request may be sent to a target now.
	 * @param target the target's name
	 * @param shard the shard of the request, ignored for services without keys
	 * @param fence the fence of the shard when the request was routed
	 * @param now the monotonic time in nanoseconds, read immediately before sending
	 * @return whether it may be sent
	 */
	boolean mayDispatch(String target, ShardId shard, long fence, long now);

	/**
	 * Returns whether a target is lost: its grant lease has expired and it failed to
	 * reply.
	 * @param target the target's name
	 * @param now the monotonic time in nanoseconds
	 * @return whether the target is lost
	 */
	boolean lost(String target, long now);

	/**
	 * Returns whether the leader has requested a handover of the gate of a target. Once
	 * requested, no new request may be sent to the target; when no request is in flight,
	 * the gate reports the target in {@link GateReports#handedOver()}.
	 * @param target the target's name
	 * @return whether a handover was requested for the current gate epoch
	 */
	boolean handoverRequested(String target);

	/**
	 * Notifies the agent that no request is in flight for a shard that is being released,
	 * so that the next grant omits the shard. The agent reports the shard as released
	 * once the target has acknowledged such a grant. Ignored unless the view shows the
	 * shard as being released with this fence.
	 *
	 * <p>
	 * A request counts towards the shard that its key belongs to in the view that shows
	 * the release, not the shard by which it was routed. A request whose
	 * {@link Command.BeginRequest} is pending counts as in flight. Otherwise a request
	 * for a key that was split out of its slice could run after the key has moved to
	 * another target.
	 * @param shard the shard
	 * @param fence the fence of the shard
	 */
	void drained(ShardId shard, long fence);

}

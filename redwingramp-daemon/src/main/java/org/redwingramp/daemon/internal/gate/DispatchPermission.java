package org.redwingramp.daemon.internal.gate;

import org.redwingramp.core.model.ShardId;

/**
 * Says whether a request may be sent to a target at this moment. Implementations are
 * thread safe and don't block.
 */
@FunctionalInterface
public interface DispatchPermission {

	/**
	 * Returns whether the leases and the view permit sending now.
	 * @param target the target's name
	 * @param shard the request's shard
	 * @param fence the shard's fence that the request was routed by
	 * @return whether it may be sent
	 */
	boolean mayDispatch(String target, ShardId shard, long fence);

}

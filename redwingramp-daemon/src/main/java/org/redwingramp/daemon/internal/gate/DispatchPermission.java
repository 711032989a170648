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
	 * @param key the request's key; if it was split out of its slice since the request
	 * was routed, the slice's owner need not be its owner any more
	 * @param shard the request's shard
	 * @param fence the shard's fence that the request was routed by
	 * @return whether it may be sent
	 */
	boolean mayDispatch(String target, String key, ShardId shard, long fence);

}

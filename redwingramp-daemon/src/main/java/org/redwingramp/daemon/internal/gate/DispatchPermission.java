package org.redwingramp.daemon.internal.gate;

import org.redwingramp.core.model.ShardId;

/**
 * Decides immediately before a send whether a request may be sent to a target.
 * Implementations are thread safe and non-blocking.
 */
@FunctionalInterface
public interface DispatchPermission {

	/**
	 * Returns whether the gate lease, the grant lease and the view permit sending now.
	 * @param target the target's name
	 * @param key the request's key, empty for services without keys; if it was split out
	 * of its slice as a hot key after the request was routed, it may have another owner
	 * than the slice
	 * @param shard the shard by which the request was routed
	 * @param fence the shard's fence when the request was routed
	 * @return whether the request may be sent
	 */
	boolean mayDispatch(String target, String key, ShardId shard, long fence);

}

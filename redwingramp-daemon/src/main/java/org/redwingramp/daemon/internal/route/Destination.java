package org.redwingramp.daemon.internal.route;

import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.ShardId;

/**
 * The target that a request is sent to, and the gate that sends it. Immutable and thread
 * safe.
 *
 * @param target the target
 * @param shard the request's shard, {@code GateRequest.NO_SHARD} for services without
 * keys
 * @param fence the shard's fencing token, which rises with each owner; 0 for services
 * without keys
 * @param gateAddress the internal address of the instance that holds the target's gate,
 * as {@code ip:port}; empty if this instance holds it
 */
record Destination(TargetState target, ShardId shard, long fence, String gateAddress) {

	boolean local() {
		return this.gateAddress.isEmpty();
	}

}

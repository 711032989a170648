package org.redwingramp.daemon.internal.route;

import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.ShardId;

/**
 * Where a request goes. Immutable and thread safe.
 *
 * @param target the target
 * @param shard the request's shard
 * @param fence the shard's fence
 * @param gateAddress the internal address of the gate as {@code ip:port}, empty if this
 * instance is the gate
 */
record Destination(TargetState target, ShardId shard, long fence, String gateAddress) {

	boolean local() {
		return this.gateAddress.isEmpty();
	}

}

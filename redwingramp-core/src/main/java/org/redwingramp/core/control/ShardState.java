package org.redwingramp.core.control;

import org.redwingramp.core.model.ShardId;

/**
 * The ownership of a shard. Immutable and thread safe.
 *
 * @param id the identifier of the shard
 * @param phase the phase of the ownership
 * @param owner the name of the target that owns the shard, empty if it is unowned
 * @param fence the fencing token of the current or last owner, which rises with each
 * owner
 * @param viewVersion the view version of the last change to this state
 */
public record ShardState(ShardId id, ShardPhase phase, String owner, long fence, long viewVersion) {
}

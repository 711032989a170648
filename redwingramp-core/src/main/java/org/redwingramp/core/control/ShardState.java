package org.redwingramp.core.control;

import org.redwingramp.core.model.ShardId;

/**
 * A shard's ownership. Immutable and thread safe.
 *
 * @param id the shard
 * @param phase the state of its ownership
 * @param owner the owning target's name, empty if it is unowned
 * @param fence the fence of the current or last owner
 * @param viewVersion the view version of its last change
 */
public record ShardState(ShardId id, ShardPhase phase, String owner, long fence, long viewVersion) {
}

package org.redwingramp.core.control.internal;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.redwingramp.core.control.Command.FencedShard;
import org.redwingramp.core.control.Command.ShardAssignment;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.CommandResult.Refused;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate.Removed;
import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.ShardId;

/**
 * Applies the commands about the ownership of shards. Not thread safe.
 *
 * <p>
 * Invariant: each assignment gets a fence (a fencing token that rises with each owner)
 * higher than all fences assigned before, also those of withdrawn services, so a service
 * that is created again never reuses a fence.
 */
final class ShardRules {

	/** Limits the size of a complete view: 65,536 slices take about 6 MB. */
	static final int MAX_SLICES = 65_536;

	/**
	 * Covers the 1,300 hottest keys of the system size that the router is designed for.
	 */
	static final int MAX_HOT_KEYS = 2_048;

	private long lastFence;

	void create(RecordBody.Service service, ViewChanges changes) {
		if (service.keySource().keyed()) {
			IntStream.range(0, service.slices())
				.mapToObj((slice) -> ShardId.slice(service.name(), slice))
				.forEach((id) -> changes.put(unowned(id, this.lastFence)));
		}
	}

	private static ShardState unowned(ShardId id, long fence) {
		return new ShardState(id, ShardPhase.UNOWNED, "", fence, 0);
	}

	private static ShardState withPhase(ShardState shard, ShardPhase phase) {
		return new ShardState(shard.id(), phase, shard.owner(), shard.fence(), 0);
	}

	CommandResult release(List<FencedShard> shards, ViewChanges changes) {
		shards.forEach((item) -> matching(item, ShardPhase.OWNED, changes)
			.ifPresent((shard) -> changes.put(withPhase(shard, ShardPhase.RELEASING))));
		return result(changes, "no shard released: none is owned with the expected fence");
	}

	CommandResult released(List<FencedShard> shards, ViewChanges changes) {
		shards.forEach((item) -> matching(item, ShardPhase.RELEASING, changes)
			.ifPresent((shard) -> changes.put(unowned(shard.id(), shard.fence()))));
		return result(changes, "no shard unowned: none is being released with the expected fence");
	}

	private static Optional<ShardState> matching(FencedShard item, ShardPhase phase, ViewChanges changes) {
		return changes.shard(item.shard()).filter((shard) -> shard.phase() == phase && shard.fence() == item.fence());
	}

	CommandResult assign(List<ShardAssignment> assignments, ViewChanges changes) {
		for (ShardAssignment assignment : assignments) {
			FencedShard expected = new FencedShard(assignment.shard(), assignment.expectedFence());
			if (assignable(assignment, changes) && matching(expected, ShardPhase.UNOWNED, changes).isPresent()) {
				this.lastFence++;
				changes
					.put(new ShardState(assignment.shard(), ShardPhase.OWNED, assignment.target(), this.lastFence, 0));
			}
		}
		return result(changes,
				"no shard assigned: none is unowned with the expected fence, or their targets do not accept shards");
	}

	private static boolean assignable(ShardAssignment assignment, ViewChanges changes) {
		return changes.target(assignment.target())
			.filter((target) -> target.phase().acceptsShards() && target.spec().bootId().equals(assignment.bootId())
					&& target.spec().service().equals(assignment.shard().service()))
			.isPresent();
	}

	private static CommandResult result(ViewChanges changes, String refusal) {
		return changes.isEmpty() ? Refusals.stale(refusal) : new CommandResult.Applied(changes.nextVersion());
	}

	CommandResult split(ShardId key, ViewChanges changes) {
		if (changes.shard(key).isPresent()) {
			return new CommandResult.Applied(changes.base().version());
		}
		Optional<Refused> refusal = splitRefusal(key, changes.base());
		if (refusal.isPresent()) {
			return refusal.get();
		}
		ShardState slice = changes.shard(ShardId.slice(key.service(), key.slice())).orElseThrow();
		changes.put(new ShardState(key, slice.phase(), slice.owner(), slice.fence(), 0));
		return new CommandResult.Applied(changes.nextVersion());
	}

	private static Optional<Refused> splitRefusal(ShardId key, ImmutableView view) {
		Optional<RecordBody.Service> service = view.service(key.service()).filter((found) -> found.keySource().keyed());
		if (service.isEmpty()) {
			return Optional.of(Refusals.notFound("keyed service " + key.service()));
		}
		if (!key.singleKey() || KeyHash.slice(key.hotKey(), service.get().slices()) != key.slice()) {
			return Optional.of(Refusals.inconsistent("shard " + key + " does not name a key of that slice"));
		}
		return (view.serviceShards(key.service()).hotKeyCount() >= MAX_HOT_KEYS)
				? Optional.of(Refusals.limitReached("keys with a shard of their own", MAX_HOT_KEYS)) : Optional.empty();
	}

	CommandResult merge(ShardId key, ViewChanges changes) {
		Optional<ShardState> hot = changes.shard(key).filter((shard) -> key.singleKey());
		Optional<ShardState> slice = changes.shard(ShardId.slice(key.service(), key.slice()));
		if (hot.isEmpty() || slice.isEmpty()) {
			return Refusals.notFound("shard " + key);
		}
		boolean owned = hot.get().phase() == ShardPhase.OWNED && slice.get().phase() == ShardPhase.OWNED;
		if (!owned || !hot.get().owner().equals(slice.get().owner())) {
			return Refusals.stale("shard " + key + " and its slice are not owned by the same target");
		}
		changes.remove(new Removed.RemovedShard(key));
		if (slice.get().fence() < hot.get().fence()) {
			// A later split copies the fence of the slice to the key. The fence of the
			// key must not decrease.
			changes.put(new ShardState(slice.get().id(), ShardPhase.OWNED, slice.get().owner(), hot.get().fence(), 0));
		}
		return new CommandResult.Applied(changes.nextVersion());
	}

	// Marks the shards of a target's previous incarnation as being released.
	static void releaseAll(TargetState target, ViewChanges changes) {
		changes.base()
			.shardsOf(target.spec().name())
			.stream()
			.filter((shard) -> shard.phase() == ShardPhase.OWNED)
			.forEach((shard) -> changes.put(withPhase(shard, ShardPhase.RELEASING)));
	}

	// Removes the ownership of all shards of a target that can no longer serve them.
	static void unownAll(TargetState target, ViewChanges changes) {
		changes.base()
			.shardsOf(target.spec().name())
			.forEach((shard) -> changes.put(unowned(shard.id(), shard.fence())));
	}

	long lastFence() {
		return this.lastFence;
	}

	void restore(long fence) {
		this.lastFence = fence;
	}

}

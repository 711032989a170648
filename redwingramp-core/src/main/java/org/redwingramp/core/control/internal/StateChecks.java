package org.redwingramp.core.control.internal;

import java.util.Optional;

import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate;

/**
 * Checks the invariants of what an update touches. Stateless and thread safe.
 */
final class StateChecks {

	private StateChecks() {
	}

	/**
	 * Checks that nothing falls that may only rise. Used for commands and for updates
	 * from the leader.
	 * @param before the view before the update
	 * @param update the update
	 * @throws InvariantViolatedException if a version, revision, epoch or fence falls
	 */
	static void rising(ImmutableView before, ViewUpdate update) throws InvariantViolatedException {
		require(update.toVersion() >= before.version(),
				"view version " + update.toVersion() + " after version " + before.version());
		for (RecordState state : update.records()) {
			Optional<RecordState> former = before.record(state.record().kind(), state.record().name());
			require(former.isEmpty() || former.get().revision() <= state.revision(),
					"the revision of " + RecordKey.of(state.record()) + " fell to " + state.revision());
		}
		for (TargetState target : update.targets()) {
			Optional<TargetState> former = before.target(target.spec().name());
			require(former.isEmpty() || former.get().gateEpoch() <= target.gateEpoch(),
					"the gate epoch of " + target.spec().name() + " fell to " + target.gateEpoch());
		}
		for (ShardState shard : update.shards()) {
			ShardState former = before.shardState(shard.id());
			require(former == null || fenceRises(former, shard),
					"shard " + shard.id() + " changed from " + former + " to " + shard);
		}
	}

	private static boolean fenceRises(ShardState former, ShardState next) {
		boolean sameOwner = next.owner().isEmpty() || next.owner().equals(former.owner());
		return next.fence() > former.fence() || (next.fence() == former.fence() && sameOwner);
	}

	/**
	 * Checks that a command moved ownership in the permitted steps only.
	 * @param before the view before the command
	 * @param after the view after the command
	 * @param update the difference
	 * @throws InvariantViolatedException if an invariant doesn't hold
	 */
	static void step(ImmutableView before, ImmutableView after, ViewUpdate update) throws InvariantViolatedException {
		rising(before, update);
		require(after.version() == before.version() + 1, "a command raised the view version by more than 1");
		for (ShardState shard : update.shards()) {
			owner(shard, after);
			ShardState former = before.shardState(shard.id());
			require(former == null || former.owner().isEmpty() || shard.owner().isEmpty()
					|| former.owner().equals(shard.owner()),
					"shard " + shard.id() + " changed its owner without being unowned: " + former + " to " + shard);
		}
		for (TargetState target : update.targets()) {
			require(target.gate().isEmpty() || after.entry(target.gate()).isPresent(),
					"target " + target.spec().name() + " has the unknown gate " + target.gate());
		}
		for (ViewUpdate.Removed removed : update.removed()) {
			if (removed instanceof ViewUpdate.Removed.RemovedTarget target) {
				require(before.shardsOf(target.name())
					.stream()
					.allMatch((shard) -> after.shardState(shard.id()) == null),
						"target " + target.name() + " is gone but owns shards");
			}
		}
	}

	private static void owner(ShardState shard, ImmutableView view) throws InvariantViolatedException {
		boolean owned = shard.phase() != ShardPhase.UNOWNED;
		require(owned != shard.owner().isEmpty(),
				"shard " + shard.id() + " is " + shard.phase() + " with owner '" + shard.owner() + "'");
		require(!owned || view.target(shard.owner())
			.filter((target) -> target.spec().service().equals(shard.id().service()))
			.isPresent(), "shard " + shard.id() + " has the unknown owner " + shard.owner());
	}

	private static void require(boolean holds, String violation) throws InvariantViolatedException {
		if (!holds) {
			throw new InvariantViolatedException("invariant violated: " + violation);
		}
	}

}

package org.redwingramp.core.control.internal;

import java.util.Optional;

import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate;

/**
 * Checks the invariants of the resources that an update changes. Stateless and thread
 * safe.
 */
final class StateChecks {

	private StateChecks() {
	}

	/**
	 * Checks that the values that must only increase do not decrease. Used for commands
	 * and for updates from the leader.
	 * @param before the view before the update
	 * @param update the update
	 * @throws InvariantViolatedException if a version, revision, gate epoch or fence
	 * decreases
	 */
	static void requireMonotonic(ImmutableView before, ViewUpdate update) throws InvariantViolatedException {
		require(update.toVersion() >= before.version(),
				"the view version decreased from " + before.version() + " to " + update.toVersion());
		for (RecordState state : update.records()) {
			Optional<RecordState> previous = before.record(state.record().kind(), state.record().name());
			require(previous.isEmpty() || previous.get().revision() <= state.revision(),
					"the revision of " + RecordKey.of(state.record()) + " decreased to " + state.revision());
		}
		for (TargetState target : update.targets()) {
			Optional<TargetState> previous = before.target(target.spec().name());
			require(previous.isEmpty() || previous.get().gateEpoch() <= target.gateEpoch(),
					"the gate epoch of " + target.spec().name() + " decreased to " + target.gateEpoch());
		}
		for (ShardState shard : update.shards()) {
			ShardState previous = before.shardState(shard.id());
			require(previous == null || fenceMonotonic(previous, shard), "the fence of shard " + shard.id()
					+ " decreased, or its owner changed without a higher fence: " + previous + " to " + shard);
		}
	}

	private static boolean fenceMonotonic(ShardState previous, ShardState next) {
		boolean sameOwner = next.owner().isEmpty() || next.owner().equals(previous.owner());
		return next.fence() > previous.fence() || (next.fence() == previous.fence() && sameOwner);
	}

	/**
	 * Checks that the transition caused by a command is valid: ownership passes from one
	 * target to another only through the unowned state, and gates and owners exist.
	 * @param before the view before the command
	 * @param after the view after the command
	 * @param update the difference
	 * @throws InvariantViolatedException if an invariant is violated
	 */
	static void requireValidTransition(ImmutableView before, ImmutableView after, ViewUpdate update)
			throws InvariantViolatedException {
		requireMonotonic(before, update);
		require(after.version() == before.version() + 1, "a command must raise the view version by exactly 1");
		for (ShardState shard : update.shards()) {
			requireValidOwner(shard, after);
			ShardState previous = before.shardState(shard.id());
			require(previous == null || previous.owner().isEmpty() || shard.owner().isEmpty()
					|| previous.owner().equals(shard.owner()),
					"shard " + shard.id() + " changed its owner without being unowned: " + previous + " to " + shard);
		}
		for (TargetState target : update.targets()) {
			require(target.gate().isEmpty() || after.entry(target.gate()).isPresent(), "target " + target.spec().name()
					+ " has gate " + target.gate() + ", which is not a registered entry instance");
		}
		for (ViewUpdate.Removed removed : update.removed()) {
			if (removed instanceof ViewUpdate.Removed.RemovedTarget target) {
				require(before.shardsOf(target.name())
					.stream()
					.allMatch((shard) -> after.shardState(shard.id()) == null),
						"target " + target.name() + " was removed while it owned shards");
			}
		}
	}

	private static void requireValidOwner(ShardState shard, ImmutableView view) throws InvariantViolatedException {
		boolean owned = shard.phase() != ShardPhase.UNOWNED;
		require(owned != shard.owner().isEmpty(),
				"shard " + shard.id() + " is " + shard.phase() + " with owner '" + shard.owner() + "'");
		require(!owned || view.target(shard.owner())
			.filter((target) -> target.spec().service().equals(shard.id().service()))
			.isPresent(),
				"shard " + shard.id() + " is owned by " + shard.owner() + ", which is not a target of its service");
	}

	private static void require(boolean holds, String violation) throws InvariantViolatedException {
		if (!holds) {
			throw new InvariantViolatedException("invariant violated: " + violation);
		}
	}

}

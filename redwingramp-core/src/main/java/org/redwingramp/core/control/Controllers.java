package org.redwingramp.core.control;

import org.redwingramp.core.control.internal.LeaderController;
import org.redwingramp.core.placement.PlacementPolicy;

/**
 * Factory for {@link Controller} instances. Stateless and thread safe.
 */
public final class Controllers {

	private Controllers() {
	}

	/**
	 * Creates the controller of one term. The state must have applied every log entry of
	 * earlier terms; otherwise a command of an earlier leader could move a gate whose
	 * lease this leader has renewed.
	 * @param state the replicated state, to which the caller continues to apply commands
	 * @param policy the policy that chooses targets for shards
	 * @param timing the heartbeat, lease and timeout durations
	 * @param electedAt the monotonic time in nanoseconds at which the replica became
	 * leader
	 * @param term the leader's term
	 * @return the controller
	 */
	public static Controller create(ControlState state, PlacementPolicy policy, ControlTiming timing, long electedAt,
			long term) {
		return new LeaderController(state, policy, timing, electedAt, term);
	}

}

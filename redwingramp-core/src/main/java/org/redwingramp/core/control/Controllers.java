package org.redwingramp.core.control;

import org.redwingramp.core.control.internal.LeaderController;
import org.redwingramp.core.placement.PlacementPolicy;

/**
 * Creates controllers. Stateless and thread safe.
 */
public final class Controllers {

	private Controllers() {
	}

	/**
	 * Creates the controller of one term. The state must have applied every entry of
	 * former terms; otherwise a former leader's command could move a gate whose lease
	 * this leader has renewed.
	 * @param state the state, which the invoking code keeps applying commands to
	 * @param policy the placement of shards
	 * @param timing the leases
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

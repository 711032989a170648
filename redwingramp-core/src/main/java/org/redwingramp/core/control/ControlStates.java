package org.redwingramp.core.control;

import org.redwingramp.core.control.internal.ReplicatedState;

/**
 * Factory for {@link ControlState} instances. Stateless and thread safe.
 */
public final class ControlStates {

	private ControlStates() {
	}

	/**
	 * Creates an empty state.
	 * @param clusterId the identifier of the control group
	 * @return the state
	 */
	public static ControlState create(String clusterId) {
		return ReplicatedState.create(clusterId);
	}

	/**
	 * Creates a state from a snapshot.
	 * @param snapshot the snapshot
	 * @return the state
	 */
	public static ControlState fromSnapshot(ControlSnapshot snapshot) {
		ControlState state = ReplicatedState.create(snapshot.clusterId());
		state.restore(snapshot);
		return state;
	}

}

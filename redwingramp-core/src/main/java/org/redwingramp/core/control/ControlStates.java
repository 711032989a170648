package org.redwingramp.core.control;

import org.redwingramp.core.control.internal.ReplicatedState;

/**
 * Creates control states. Stateless and thread safe.
 */
public final class ControlStates {

	private ControlStates() {
	}

	/**
	 * Creates an empty state.
	 * @param clusterId the control group's identifier
	 * @return the state
	 */
	public static ControlState create(String clusterId) {
		return ReplicatedState.create(clusterId);
	}

	/**
	 * Creates the state of a snapshot.
	 * @param image the state as plain data
	 * @return the state
	 */
	public static ControlState restored(ControlImage image) {
		ControlState state = ReplicatedState.create(image.clusterId());
		state.restore(image);
		return state;
	}

}

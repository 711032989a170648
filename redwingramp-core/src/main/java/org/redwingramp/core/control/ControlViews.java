package org.redwingramp.core.control;

import org.redwingramp.core.control.internal.ImmutableView;

/**
 * Creates views from updates. Stateless and thread safe.
 */
public final class ControlViews {

	private ControlViews() {
	}

	/**
	 * Creates the view that a whole update describes.
	 * @param update the update, which must be a whole view
	 * @return the view
	 * @throws IllegalArgumentException if the update is only a difference
	 */
	public static ControlView of(ViewUpdate update) {
		if (!update.whole()) {
			throw new IllegalArgumentException("the update starts at version " + update.fromVersion()
					+ " and needs a whole view; read it with version 0");
		}
		return ImmutableView.INITIAL.with(update);
	}

}

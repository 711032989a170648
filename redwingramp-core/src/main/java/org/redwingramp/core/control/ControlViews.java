package org.redwingramp.core.control;

import org.redwingramp.core.control.internal.ImmutableView;

/**
 * Factory for {@link ControlView} instances. Stateless and thread safe.
 */
public final class ControlViews {

	private ControlViews() {
	}

	/**
	 * Creates a view from an update that contains the complete view.
	 * @param update the update, which must be complete
	 * @return the view
	 * @throws IllegalArgumentException if the update contains only the changes since an
	 * earlier version
	 */
	public static ControlView of(ViewUpdate update) {
		if (!update.complete()) {
			throw new IllegalArgumentException("the update contains only the changes since version "
					+ update.fromVersion() + ", but a complete view is required; request it with version 0");
		}
		return ImmutableView.INITIAL.with(update);
	}

}

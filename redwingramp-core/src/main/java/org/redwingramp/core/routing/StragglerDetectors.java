package org.redwingramp.core.routing;

import org.redwingramp.core.routing.internal.MedianStragglerDetector;

/**
 * Creates {@link StragglerDetector straggler detectors}. Stateless and thread safe.
 */
public final class StragglerDetectors {

	private StragglerDetectors() {
	}

	/**
	 * Creates a detector with the {@link StragglerSettings#DEFAULT default settings}.
	 * @return the detector
	 */
	public static StragglerDetector create() {
		return create(StragglerSettings.DEFAULT);
	}

	/**
	 * Creates a detector.
	 * @param settings the settings
	 * @return the detector
	 */
	public static StragglerDetector create(StragglerSettings settings) {
		return new MedianStragglerDetector(settings);
	}

}

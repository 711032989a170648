package org.redwingramp.core.routing;

/**
 * The settings of one target's gate. Immutable and thread safe.
 *
 * @param slots the number of requests that the target runs at once, at least 1
 * @param queueLimit the largest number of waiting requests
 * @param ramp whether the limit starts at 1 and grows; switched off only to measure the
 * baseline
 * @param earlyRefusal whether requests are refused as soon as their deadline can't be
 * met; switched off only to measure the baseline
 */
public record GateSettings(int slots, int queueLimit, boolean ramp, boolean earlyRefusal) {

	/**
	 * Creates the settings in use, with all safeguards on.
	 * @param slots the number of requests that the target runs at once
	 * @param queueLimit the largest number of waiting requests
	 * @return the settings
	 */
	public static GateSettings of(int slots, int queueLimit) {
		return new GateSettings(slots, queueLimit, true, true);
	}

	/**
	 * Creates the settings of the simplest baseline: every request starts at once.
	 * @return the settings
	 */
	public static GateSettings unlimited() {
		return new GateSettings(Integer.MAX_VALUE, Integer.MAX_VALUE, false, false);
	}

}

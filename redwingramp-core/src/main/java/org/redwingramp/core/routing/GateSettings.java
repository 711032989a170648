package org.redwingramp.core.routing;

/**
 * The settings of a {@link TargetGate}. Immutable and thread safe.
 *
 * @param slots the number of requests that the target can process concurrently, at least
 * 1
 * @param queueLimit the maximum number of waiting requests
 * @param ramp whether the concurrency limit starts at 1 and grows to the number of slots;
 * disabled only to measure a baseline
 * @param earlyRefusal whether a request is refused as soon as its deadline is expected to
 * be missed, instead of when it has passed; disabled only to measure a baseline
 */
public record GateSettings(int slots, int queueLimit, boolean ramp, boolean earlyRefusal) {

	/**
	 * Creates settings with the ramp and early refusal enabled.
	 * @param slots the number of requests that the target can process concurrently
	 * @param queueLimit the maximum number of waiting requests
	 * @return the settings
	 */
	public static GateSettings of(int slots, int queueLimit) {
		return new GateSettings(slots, queueLimit, true, true);
	}

	/**
	 * Creates settings without any limit: every request starts immediately. Benchmarks
	 * use them as the baseline.
	 * @return the settings
	 */
	public static GateSettings unlimited() {
		return new GateSettings(Integer.MAX_VALUE, Integer.MAX_VALUE, false, false);
	}

}

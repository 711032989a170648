package org.redwingramp.core.ownership;

/**
 * Estimates the load of each key of a service as an exponentially decaying average of
 * slot time per second. Not thread safe.
 */
public final class KeyLoad {

	/**
	 * Time constant of the average, in seconds. Short, because a key can become hot
	 * within a second, but long enough to cover several requests for a warm key.
	 */
	private static final double TIME_CONSTANT_S = 1.5;

	private static final double NANOS_PER_SECOND = 1e9;

	private final float[] load = new float[KeyRange.KEYS];

	private long lastDecayNanos;

	/**
	 * Creates load statistics in which every key has no load.
	 * @param now the monotonic time in nanoseconds
	 */
	public KeyLoad(long now) {
		this.lastDecayNanos = now;
	}

	/**
	 * Records slot time used by requests for a key.
	 * @param key the key
	 * @param millis the time in milliseconds for which a slot was occupied
	 */
	public void add(int key, double millis) {
		this.load[key] += (float) (millis / TIME_CONSTANT_S);
	}

	/**
	 * Decays the averages by the time elapsed since the previous call.
	 * @param now the monotonic time in nanoseconds
	 */
	public void decay(long now) {
		float factor = (float) Math.exp(-(now - this.lastDecayNanos) / NANOS_PER_SECOND / TIME_CONSTANT_S);
		this.lastDecayNanos = now;
		for (int key = 0; key < this.load.length; key++) {
			this.load[key] *= factor;
		}
	}

	/**
	 * Returns the load of a key.
	 * @param key the key
	 * @return slot milliseconds used per second
	 */
	public double of(int key) {
		return this.load[key];
	}

	/**
	 * Returns the total load of the keys of a range.
	 * @param keys the range
	 * @return slot milliseconds used per second
	 */
	public double of(KeyRange keys) {
		double sum = 0;
		for (int key = keys.first(); key <= keys.last(); key++) {
			sum += this.load[key];
		}
		return sum;
	}

}

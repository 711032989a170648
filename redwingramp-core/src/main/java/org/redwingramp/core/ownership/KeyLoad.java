package org.redwingramp.core.ownership;

/**
 * The work that each key of a service causes, as a moving average. Not thread safe.
 */
public final class KeyLoad {

	/**
	 * The time constant of the average in seconds: short, since a key may become hot
	 * within a second, and long enough to hold several requests of a warm key.
	 */
	private static final double TIME_CONSTANT_S = 1.5;

	private static final double NANOS_PER_SECOND = 1e9;

	private final float[] work = new float[KeyRange.KEYS];

	private long decayedNanos;

	/**
	 * Creates an average without work.
	 * @param now the monotonic time in nanoseconds
	 */
	public KeyLoad(long now) {
		this.decayedNanos = now;
	}

	/**
	 * Adds work.
	 * @param key the key
	 * @param millis the milliseconds of a slot that the work took
	 */
	public void add(int key, double millis) {
		this.work[key] += (float) (millis / TIME_CONSTANT_S);
	}

	/**
	 * Lets the average forget what is past.
	 * @param now the monotonic time in nanoseconds
	 */
	public void decay(long now) {
		float factor = (float) Math.exp(-(now - this.decayedNanos) / NANOS_PER_SECOND / TIME_CONSTANT_S);
		this.decayedNanos = now;
		for (int key = 0; key < this.work.length; key++) {
			this.work[key] *= factor;
		}
	}

	/**
	 * Returns the work of a key.
	 * @param key the key
	 * @return milliseconds of a slot for each second
	 */
	public double of(int key) {
		return this.work[key];
	}

	/**
	 * Returns the work of a range.
	 * @param keys the range
	 * @return milliseconds of a slot for each second
	 */
	public double of(KeyRange keys) {
		double sum = 0;
		for (int key = keys.first(); key <= keys.last(); key++) {
			sum += this.work[key];
		}
		return sum;
	}

}

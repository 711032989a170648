package org.redwingramp.core.routing.internal;

/**
 * The concurrency limit of one target. It starts at 1 and grows in steps of one after
 * windows of responses with a normal service time, up to the number of slots. After a
 * normal window at that limit the target counts as warm. When a warm target becomes slow
 * or fails repeatedly, it counts as cold, and the limit returns to 1. Not thread safe.
 *
 * <p>
 * Invariant: the limit is between 1 and the number of slots.
 */
final class Ramp {

	/**
	 * The number of responses in a window. With fewer, a single slow response could
	 * determine the result.
	 */
	static final int WINDOW_RESPONSES = 8;

	/** The limit grows up to this ratio of a window's mean to the normal service time. */
	private static final double GROW_RATIO = 1.5;

	/**
	 * Windows below this ratio of their mean to the normal service time are included in
	 * the estimate of the latter. The margin covers the random variation of a window's
	 * mean, so that the estimate isn't biased.
	 */
	private static final double ESTIMATE_RATIO = 1.25;

	/**
	 * A warm target counts as cold above this ratio of a window's mean to the normal
	 * service time; a single response above it is slow.
	 */
	private static final double COLD_RATIO = 3;

	/**
	 * A sample is capped at this multiple of the normal service time, so that it takes at
	 * least four slow responses in a window to restart the ramp.
	 */
	private static final double SAMPLE_CAP_RATIO = 6;

	/** The number of failures within a window that restarts the ramp. */
	private static final int COLD_FAILURES = 3;

	/**
	 * The target is warming up if the ratio of a window's mean to that of the previous
	 * window is below this value.
	 */
	private static final double WARMING_RATIO = 0.9;

	/**
	 * The number of successive slow windows, without further warm-up, after which their
	 * mean becomes the normal service time.
	 */
	private static final int STEADY_SLOW_WINDOWS = 3;

	/** The maximum number of windows to wait before the limit grows again. */
	private static final int MAX_PAUSE_WINDOWS = 8;

	/**
	 * The lower bound of the normal service time in comparisons. Differences of a
	 * fraction of a millisecond are caused by thread scheduling; if they counted as
	 * slowness, the limit would stay near 1.
	 */
	private static final double MIN_NORMAL_NANOS = 1_000_000;

	/**
	 * The weight of one response of a warm target in the normal service time. With a
	 * larger weight, the normal service time would adapt to a target that becomes four
	 * times slower before the window identifies it as cold.
	 */
	private static final double WARM_RESPONSE_WEIGHT = 0.01;

	/** The weight of a window's mean in the normal service time during the ramp. */
	private static final double WINDOW_WEIGHT = 0.2;

	private final SampleWindow window = new SampleWindow(WINDOW_RESPONSES);

	private final int slots;

	private final boolean enabled;

	private double normalNanos;

	private double previousMeanNanos;

	private int limit;

	private int steadySlowWindows;

	private int pauseWindows;

	private int waitedWindows;

	private int restarts;

	private boolean warm;

	// Whether the latest response of a warm target was slow or failed, which halves the
	// limit.
	private boolean suspected;

	Ramp(int slots, boolean enabled, long normalNanos) {
		this.slots = slots;
		this.enabled = enabled;
		this.normalNanos = normalNanos;
		restart();
	}

	int limit() {
		return (this.suspected) ? (this.limit + 1) / 2 : this.limit;
	}

	boolean warm() {
		return this.warm;
	}

	private double comparableNormalNanos() {
		return Math.max(this.normalNanos, MIN_NORMAL_NANOS);
	}

	boolean slow(double nanos) {
		return this.normalNanos > 0 && nanos > COLD_RATIO * comparableNormalNanos();
	}

	int restarts() {
		return this.restarts;
	}

	void restart() {
		this.restarts++;
		this.window.clear();
		this.previousMeanNanos = 0;
		this.steadySlowWindows = 0;
		this.pauseWindows = 0;
		this.waitedWindows = 0;
		this.suspected = false;
		this.warm = !this.enabled || this.slots == 1;
		this.limit = (this.enabled) ? 1 : this.slots;
	}

	/**
	 * Records a response or a failure.
	 * @param nanos the service time, or the time that the caller waited for a response
	 * @param failed whether the target failed or didn't respond
	 */
	void add(long nanos, boolean failed) {
		if (!this.enabled) {
			return;
		}
		double cappedNanos = (this.normalNanos > 0) ? Math.min(nanos, SAMPLE_CAP_RATIO * comparableNormalNanos())
				: nanos;
		this.window.add(cappedNanos, failed);
		if (this.warm) {
			evaluateWarm(cappedNanos, failed);
		}
		else if (failed) {
			reduceLimit(1);
		}
		else if (this.window.full()) {
			evaluateWindow(this.window.mean());
			this.window.clear();
		}
	}

	private void evaluateWarm(double nanos, boolean failed) {
		boolean slow = slow(nanos);
		boolean cold = this.window.failures() >= COLD_FAILURES
				|| (this.window.full() && this.window.mean() > COLD_RATIO * comparableNormalNanos());
		if (cold && this.normalNanos > 0) {
			restart();
			return;
		}
		this.suspected = slow || failed;
		if (!failed) {
			updateNormal(nanos, WARM_RESPONSE_WEIGHT);
		}
	}

	private void evaluateWindow(double meanNanos) {
		boolean warming = this.previousMeanNanos > 0 && meanNanos < WARMING_RATIO * this.previousMeanNanos;
		this.previousMeanNanos = meanNanos;
		if (this.normalNanos == 0) {
			this.normalNanos = meanNanos;
		}
		if (meanNanos > GROW_RATIO * comparableNormalNanos()) {
			handleSlowWindow(meanNanos, warming);
		}
		else {
			this.steadySlowWindows = 0;
			updateNormalInRamp(meanNanos);
			growLimit(warming);
		}
	}

	private void handleSlowWindow(double meanNanos, boolean warming) {
		if (this.limit > 1) {
			reduceLimit(this.limit - 1);
			return;
		}
		this.steadySlowWindows = (warming) ? 0 : this.steadySlowWindows + 1;
		if (this.steadySlowWindows >= STEADY_SLOW_WINDOWS) {
			this.normalNanos = meanNanos;
			this.steadySlowWindows = 0;
		}
	}

	private void growLimit(boolean warming) {
		if (warming || this.waitedWindows++ < this.pauseWindows) {
			return;
		}
		this.waitedWindows = 0;
		this.warm = this.limit >= this.slots;
		this.limit = Math.min(this.limit + 1, this.slots);
	}

	// Doubles the number of windows before the limit grows again, since the target could
	// not handle the last growth.
	private void reduceLimit(int newLimit) {
		this.pauseWindows = Math.min(MAX_PAUSE_WINDOWS, Math.max(1, 2 * this.pauseWindows));
		this.waitedWindows = 0;
		this.limit = newLimit;
		this.previousMeanNanos = 0;
		this.window.clear();
	}

	// Above a limit of 1, windows that are clearly slower than normal are excluded. The
	// limit itself may cause the slowness, and with each growth the service time of an
	// overloaded target would be accepted as normal.
	private void updateNormalInRamp(double meanNanos) {
		if (this.limit == 1 || meanNanos < ESTIMATE_RATIO * comparableNormalNanos()) {
			updateNormal(meanNanos, WINDOW_WEIGHT);
		}
	}

	private void updateNormal(double nanos, double weight) {
		this.normalNanos = (this.normalNanos == 0) ? nanos : this.normalNanos + weight * (nanos - this.normalNanos);
	}

}

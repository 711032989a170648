package org.redwingramp.core.routing.internal;

/**
 * The limit of one target: it starts at 1, grows while answers come at normal speed, and
 * returns to 1 when the target turns cold again. Not thread safe.
 *
 * <p>
 * Invariant: the limit is between 1 and the slots.
 */
final class Ramp {

	/** Answers per judgement: fewer would let single slow answers decide. */
	static final int WINDOW = 8;

	/** Mean over normal service time up to which the limit grows. */
	private static final double GROW_RATIO = 1.5;

	/** Covers the chance spread of a window's mean, so that the estimate isn't biased. */
	private static final double LEARN_RATIO = 1.25;

	/** Mean over normal service time from which a warm target counts as cold. */
	private static final double COLD_RATIO = 3;

	/**
	 * One answer counts for at most this many normal ones, so that at least four slow
	 * ones of a window restart the ramp.
	 */
	private static final double CLAMP_RATIO = 6;

	/** Failures within a window that restart the ramp. */
	private static final int COLD_FAILURES = 3;

	/** A window that is this much faster than the one before shows a warming target. */
	private static final double WARMING_RATIO = 0.9;

	/** Windows of equal speed after which that speed counts as the normal one. */
	private static final int STEADY_WINDOWS = 3;

	private static final int LONGEST_PAUSE = 8;

	/**
	 * Normal speeds below this are judged as this one. Changes of a fraction of a
	 * millisecond come from scheduling, and a limit that follows them stays near 1.
	 */
	private static final double LEAST_NORMAL_NANOS = 1_000_000;

	/**
	 * Weight of one answer of a warm target. A larger one would follow a target that
	 * turns four times slower before the window shows it as cold.
	 */
	private static final double ANSWER_WEIGHT = 0.01;

	private static final double WINDOW_WEIGHT = 0.2;

	private final AnswerWindow window = new AnswerWindow(WINDOW);

	private final int slots;

	private final boolean enabled;

	private double normal;

	private double previousMean;

	private int limit;

	private int steadyWindows;

	private int pause;

	private int pausedWindows;

	private int restarts;

	private boolean warm;

	private boolean suspected;

	Ramp(int slots, boolean enabled, long normalNanos) {
		this.slots = slots;
		this.enabled = enabled;
		this.normal = normalNanos;
		restart();
	}

	int limit() {
		return (this.suspected) ? (this.limit + 1) / 2 : this.limit;
	}

	boolean warm() {
		return this.warm;
	}

	private double reference() {
		return Math.max(this.normal, LEAST_NORMAL_NANOS);
	}

	boolean slow(double nanos) {
		return this.normal > 0 && nanos > COLD_RATIO * reference();
	}

	int restarts() {
		return this.restarts;
	}

	void restart() {
		this.restarts++;
		this.window.clear();
		this.previousMean = 0;
		this.steadyWindows = 0;
		this.pause = 0;
		this.pausedWindows = 0;
		this.suspected = false;
		this.warm = !this.enabled || this.slots == 1;
		this.limit = (this.enabled) ? 1 : this.slots;
	}

	/**
	 * Counts an answer or a failure.
	 * @param nanos the service time, or how long the request was waited for
	 * @param failed whether the target failed or didn't answer
	 */
	void add(long nanos, boolean failed) {
		if (!this.enabled) {
			return;
		}
		double clamped = (this.normal > 0) ? Math.min(nanos, CLAMP_RATIO * reference()) : nanos;
		this.window.add(clamped, failed);
		if (this.warm) {
			watch(clamped, failed);
		}
		else if (failed) {
			shrink(1);
		}
		else if (this.window.full()) {
			judge(this.window.mean());
			this.window.clear();
		}
	}

	private void watch(double nanos, boolean failed) {
		boolean slow = slow(nanos);
		boolean cold = this.window.failures() >= COLD_FAILURES
				|| (this.window.full() && this.window.mean() > COLD_RATIO * reference());
		if (cold && this.normal > 0) {
			restart();
			return;
		}
		this.suspected = slow || failed;
		if (!failed) {
			learn(nanos, ANSWER_WEIGHT);
		}
	}

	private void judge(double mean) {
		boolean warming = this.previousMean > 0 && mean < WARMING_RATIO * this.previousMean;
		this.previousMean = mean;
		if (this.normal == 0) {
			this.normal = mean;
		}
		if (mean > GROW_RATIO * reference()) {
			slowWindow(mean, warming);
		}
		else {
			this.steadyWindows = 0;
			learnInRamp(mean);
			grow(warming);
		}
	}

	private void slowWindow(double mean, boolean warming) {
		if (this.limit > 1) {
			shrink(this.limit - 1);
			return;
		}
		this.steadyWindows = (warming) ? 0 : this.steadyWindows + 1;
		if (this.steadyWindows >= STEADY_WINDOWS) {
			this.normal = mean;
			this.steadyWindows = 0;
		}
	}

	private void grow(boolean warming) {
		if (warming || this.pausedWindows++ < this.pause) {
			return;
		}
		this.pausedWindows = 0;
		this.warm = this.limit >= this.slots;
		this.limit = Math.min(this.limit + 1, this.slots);
	}

	// Waits longer before the next growth, since the target couldn't handle the last.
	private void shrink(int newLimit) {
		this.pause = Math.min(LONGEST_PAUSE, Math.max(1, 2 * this.pause));
		this.pausedWindows = 0;
		this.limit = newLimit;
		this.previousMean = 0;
		this.window.clear();
	}

	// Above a limit of 1, clearly slower windows aren't learned: they may come from the
	// limit itself, and an overloaded speed would pass as normal step by step.
	private void learnInRamp(double mean) {
		if (this.limit == 1 || mean < LEARN_RATIO * reference()) {
			learn(mean, WINDOW_WEIGHT);
		}
	}

	private void learn(double nanos, double weight) {
		this.normal = (this.normal == 0) ? nanos : this.normal + weight * (nanos - this.normal);
	}

}

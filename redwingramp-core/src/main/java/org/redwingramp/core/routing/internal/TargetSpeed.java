package org.redwingramp.core.routing.internal;

import org.redwingramp.core.routing.StragglerSettings;

/**
 * The smoothed service time of one target and its ejection. Not thread safe.
 */
final class TargetSpeed {

	private static final double SMOOTHING = 0.2;

	private final StragglerSettings settings;

	private double mean;

	private int answers;

	private long lastAnswer;

	private long ejectedUntil = Long.MIN_VALUE;

	private long ejection;

	TargetSpeed(StragglerSettings settings) {
		this.settings = settings;
	}

	void add(long nanos, long now) {
		if (outdated(now)) {
			this.answers = 0;
		}
		this.lastAnswer = now;
		this.answers++;
		// The first answers are averaged, so that none of them weighs more than others.
		this.mean += (nanos - this.mean) * Math.max(SMOOTHING, 1.0 / this.answers);
	}

	/**
	 * Adds the time that a request was waited for in vain, which says only that the
	 * service time is longer.
	 * @param nanos the time in nanoseconds
	 * @param now the monotonic time in nanoseconds
	 */
	void addAtLeast(long nanos, long now) {
		add((long) Math.max(nanos, this.mean), now);
	}

	boolean judged(long now) {
		return this.answers >= this.settings.minimumAnswers() && !outdated(now);
	}

	// A target whose work was moved away gives no more answers that could clear it.
	private boolean outdated(long now) {
		return this.answers > 0 && now - this.lastAnswer > this.settings.longestEjectionNanos();
	}

	double mean() {
		return this.mean;
	}

	boolean ejected(long now) {
		return now < this.ejectedUntil;
	}

	void eject(long now) {
		boolean again = this.ejection > 0 && now - this.ejectedUntil < this.ejection;
		this.ejection = (again) ? Math.min(2 * this.ejection, this.settings.longestEjectionNanos())
				: this.settings.firstEjectionNanos();
		this.ejectedUntil = now + this.ejection;
		// Judged afresh afterwards: the former mean would eject the target at once.
		this.answers = 0;
	}

}

package org.redwingramp.core.routing.internal;

import org.redwingramp.core.routing.StragglerSettings;

/**
 * The smoothed service time of one target and the state of its ejection. Not thread safe.
 */
final class TargetServiceTime {

	/** The weight of a new sample in the exponentially weighted mean. */
	private static final double SMOOTHING = 0.2;

	private final StragglerSettings settings;

	private double meanNanos;

	private int samples;

	private long lastSampleNanos;

	private long ejectedUntilNanos = Long.MIN_VALUE;

	private long ejectionNanos;

	TargetServiceTime(StragglerSettings settings) {
		this.settings = settings;
	}

	void add(long nanos, long now) {
		if (outdated(now)) {
			this.samples = 0;
		}
		this.lastSampleNanos = now;
		this.samples++;
		// The first samples are averaged, so that they all have the same weight.
		this.meanNanos += (nanos - this.meanNanos) * Math.max(SMOOTHING, 1.0 / this.samples);
	}

	/**
	 * Records a request without a response. The time that the caller waited is only a
	 * lower bound of the service time, so that it never reduces the mean.
	 * @param nanos the time in nanoseconds that the caller waited
	 * @param now the monotonic time in nanoseconds
	 */
	void addLowerBound(long nanos, long now) {
		add((long) Math.max(nanos, this.meanNanos), now);
	}

	boolean classifiable(long now) {
		return this.samples >= this.settings.minResponses() && !outdated(now);
	}

	// Old samples are disregarded: a target that no longer receives requests sends no
	// responses that could show that it has recovered.
	private boolean outdated(long now) {
		return this.samples > 0 && now - this.lastSampleNanos > this.settings.maxEjectionNanos();
	}

	double mean() {
		return this.meanNanos;
	}

	boolean ejected(long now) {
		return now < this.ejectedUntilNanos;
	}

	void eject(long now) {
		boolean repeated = this.ejectionNanos > 0 && now - this.ejectedUntilNanos < this.ejectionNanos;
		this.ejectionNanos = (repeated) ? Math.min(2 * this.ejectionNanos, this.settings.maxEjectionNanos())
				: this.settings.initialEjectionNanos();
		this.ejectedUntilNanos = now + this.ejectionNanos;
		// Requires new samples after the ejection: by the previous mean the target would
		// be ejected again immediately.
		this.samples = 0;
	}

}

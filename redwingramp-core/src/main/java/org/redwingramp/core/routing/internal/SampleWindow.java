package org.redwingramp.core.routing.internal;

/**
 * A ring buffer of the latest service times and failures of one target. Not thread safe.
 */
final class SampleWindow {

	private final double[] nanos;

	private final boolean[] failed;

	private int added;

	SampleWindow(int length) {
		this.nanos = new double[length];
		this.failed = new boolean[length];
	}

	void add(double sampleNanos, boolean sampleFailed) {
		int index = this.added % this.nanos.length;
		this.nanos[index] = sampleNanos;
		this.failed[index] = sampleFailed;
		this.added = (this.added == 2 * this.nanos.length - 1) ? this.nanos.length : this.added + 1;
	}

	void clear() {
		this.added = 0;
	}

	boolean full() {
		return this.added >= this.nanos.length;
	}

	double mean() {
		int count = Math.min(this.added, this.nanos.length);
		double sum = 0;
		for (int i = 0; i < count; i++) {
			sum += this.nanos[i];
		}
		return (count == 0) ? 0 : sum / count;
	}

	int failures() {
		int count = 0;
		for (int i = 0; i < Math.min(this.added, this.nanos.length); i++) {
			count += (this.failed[i]) ? 1 : 0;
		}
		return count;
	}

}

package org.redwingramp.core.ownership;

/**
 * The timing of grants, in nanoseconds. Immutable and thread safe.
 *
 * @param holdNanos how long a grant holds, by the target's clock, from its arrival
 * @param renewNanos the time between two renewals
 * @param retryNanos the time before a call without an answer is repeated
 * @param driftBound the largest relative error of a target's clock
 * @param marginNanos added to the end of a lease for the delay of the network
 */
public record LeaseTiming(long holdNanos, long renewNanos, long retryNanos, double driftBound, long marginNanos) {

	private static final long MILLISECOND = 1_000_000L;

	/**
	 * A grant without an answer may be applied up to this much later, in nanoseconds: the
	 * platform states 12 s.
	 */
	public static final long LATE_GRANT_NANOS = 12_500 * MILLISECOND;

	/**
	 * A grant outlasts a change of the control leader of up to two seconds, and the keys
	 * of a silent target are free again after about four. Targets' clocks may run 2%
	 * slow.
	 */
	public static final LeaseTiming DEFAULT = new LeaseTiming(3000 * MILLISECOND, 800 * MILLISECOND, 300 * MILLISECOND,
			0.02, 200 * MILLISECOND);

	/**
	 * Returns when a grant has certainly ended.
	 * @param sentNanos when it was sent
	 * @return the end of the lease
	 */
	public long endOf(long sentNanos) {
		return sentNanos + (long) (this.holdNanos * (1 + this.driftBound)) + this.marginNanos;
	}

}

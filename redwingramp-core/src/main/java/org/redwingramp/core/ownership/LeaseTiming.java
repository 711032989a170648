package org.redwingramp.core.ownership;

/**
 * The timing of grants and of the leases that they establish. Immutable and thread safe.
 *
 * @param grantDurationNanos how long a grant is valid after its arrival, measured by the
 * target's clock
 * @param renewNanos the interval between renewals
 * @param retryNanos the time after which a call without a reply is repeated
 * @param driftBound the maximum relative error of a target's clock
 * @param marginNanos the allowance for network delay that is added to the end of a lease
 */
public record LeaseTiming(long grantDurationNanos, long renewNanos, long retryNanos, double driftBound,
		long marginNanos) {

	private static final long MILLISECOND = 1_000_000L;

	/**
	 * Maximum time in nanoseconds from the decision to send a grant until it has arrived
	 * at the target, or can't arrive any more because its connection was reset. Includes
	 * the time in queues and on the way by an entry instance.
	 */
	public static final long MAX_ARRIVAL_NANOS = 1000 * MILLISECOND;

	/**
	 * Default timing. A grant remains valid during a change of the control leader that
	 * takes up to 2 s, and the keys of an unresponsive target can be reassigned after
	 * about 4 s. The clock of a target may run 2% slow.
	 */
	public static final LeaseTiming DEFAULT = new LeaseTiming(3000 * MILLISECOND, 800 * MILLISECOND, 300 * MILLISECOND,
			0.02, 200 * MILLISECOND);

	/**
	 * Returns the earliest time at which a grant is certain to have expired.
	 * @param arrivalNanos the monotonic time in nanoseconds at which the grant arrived at
	 * the latest, apart from the delay of the network
	 * @return the end of the lease as monotonic time in nanoseconds
	 */
	public long endOf(long arrivalNanos) {
		return arrivalNanos + (long) (this.grantDurationNanos * (1 + this.driftBound)) + this.marginNanos;
	}

}

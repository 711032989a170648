package org.redwingramp.core.control;

/**
 * Heartbeat, lease and timeout durations of entry instances and targets, in nanoseconds
 * of a monotonic clock. Immutable and thread safe.
 *
 * @param entryHeartbeatNanos the interval between heartbeats of an entry instance
 * @param gateLeaseNanos the gate lease: how long an entry instance may act as gate after
 * it sent an acknowledged heartbeat
 * @param grantLeaseNanos the grant lease: how long a target may serve its shards after a
 * grant
 * @param grantRenewalNanos the interval between renewals of a grant
 * @param grantTimeoutNanos the time after which a grant without a reply counts as failed
 * @param viewLifetimeNanos how long an entry instance may route by its view after the
 * last contact with the control leader
 * @param driftBound the maximum relative difference between the rates of two clocks
 */
public record ControlTiming(long entryHeartbeatNanos, long gateLeaseNanos, long grantLeaseNanos, long grantRenewalNanos,
		long grantTimeoutNanos, long viewLifetimeNanos, double driftBound) {

	private static final long NANOS_PER_MILLISECOND = 1_000_000L;

	/** The default timing, used unless the settings override it. */
	public static final ControlTiming DEFAULT = new ControlTiming(100 * NANOS_PER_MILLISECOND,
			700 * NANOS_PER_MILLISECOND, 400 * NANOS_PER_MILLISECOND, 100 * NANOS_PER_MILLISECOND,
			200 * NANOS_PER_MILLISECOND, 3_000 * NANOS_PER_MILLISECOND, 0.01);

	/**
	 * Returns how long the holder of a lease may rely on it. The margin ensures that the
	 * holder stops before the grantor considers the lease expired, also if their clocks
	 * run at different rates.
	 * @param leaseNanos the nominal duration of the lease
	 * @return the duration reduced by twice the drift bound
	 */
	public long holderLeaseNanos(long leaseNanos) {
		return (long) (leaseNanos * (1 - 2 * this.driftBound));
	}

	/**
	 * Returns how long the grantor of a lease must wait before it may treat the lease as
	 * expired.
	 * @param leaseNanos the nominal duration of the lease
	 * @return the duration extended by twice the drift bound
	 */
	public long grantorWaitNanos(long leaseNanos) {
		return (long) (leaseNanos * (1 + 2 * this.driftBound));
	}

}

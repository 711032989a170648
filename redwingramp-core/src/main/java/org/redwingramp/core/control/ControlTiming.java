package org.redwingramp.core.control;

/**
 * The leases of entry instances and targets, in nanoseconds of a monotonic clock.
 * Immutable and thread safe.
 *
 * @param entryHeartbeatNanos the time between two heartbeats of an entry instance
 * @param gateLeaseNanos how long an entry instance acts as gate after a heartbeat
 * @param grantLeaseNanos how long a target serves its shards after a grant
 * @param grantRenewalNanos the time between two renewals of a grant
 * @param grantTimeoutNanos the time after which a renewal without a reply has failed
 * @param viewLifetimeNanos how long an entry instance uses its view without news
 * @param driftBound the largest relative difference of two clocks' rates
 */
public record ControlTiming(long entryHeartbeatNanos, long gateLeaseNanos, long grantLeaseNanos, long grantRenewalNanos,
		long grantTimeoutNanos, long viewLifetimeNanos, double driftBound) {

	private static final long MILLISECOND = 1_000_000L;

	/** The timing used unless the settings say otherwise. */
	public static final ControlTiming DEFAULT = new ControlTiming(100 * MILLISECOND, 700 * MILLISECOND,
			400 * MILLISECOND, 100 * MILLISECOND, 200 * MILLISECOND, 3_000 * MILLISECOND, 0.01);

	/**
	 * Returns how long the holder of a lease may use it.
	 * @param leaseNanos the lease
	 * @return the lease less twice the drift bound
	 */
	public long heldNanos(long leaseNanos) {
		return (long) (leaseNanos * (1 - 2 * this.driftBound));
	}

	/**
	 * Returns how long the grantor of a lease must wait until it is over.
	 * @param leaseNanos the lease
	 * @return the lease plus twice the drift bound
	 */
	public long waitedNanos(long leaseNanos) {
		return (long) (leaseNanos * (1 + 2 * this.driftBound));
	}

}

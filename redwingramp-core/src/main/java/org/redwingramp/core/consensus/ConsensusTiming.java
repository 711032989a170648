package org.redwingramp.core.consensus;

/**
 * The timing of the replicated log, in nanoseconds of a monotonic clock. Immutable and
 * thread safe.
 *
 * @param heartbeatNanos the time between two heartbeats of the leader
 * @param minElectionNanos the minimum election timeout; a replica that was in contact
 * with a leader within this time refuses votes
 * @param maxElectionNanos the maximum election timeout
 * @param driftBound the maximum relative error of a clock's rate
 */
public record ConsensusTiming(long heartbeatNanos, long minElectionNanos, long maxElectionNanos, double driftBound) {

	private static final long NANOS_PER_MILLISECOND = 1_000_000L;

	/** The default timing, used unless the settings override it. */
	public static final ConsensusTiming DEFAULT = new ConsensusTiming(50 * NANOS_PER_MILLISECOND,
			200 * NANOS_PER_MILLISECOND, 400 * NANOS_PER_MILLISECOND, 0.01);

	/**
	 * Returns how long a member of an open group has to be unresponsive before an
	 * instance of another name may replace it. Longer than a process takes to restart, so
	 * that a restart doesn't cause a replacement. Shorter than the time after which a
	 * successor of a removed instance has to stand in for it, by the time that an
	 * election and the promotion of the successor take.
	 * @return the time in nanoseconds
	 */
	public long replaceAfterNanos() {
		return 3500 * NANOS_PER_MILLISECOND;
	}

	/**
	 * Returns the duration of the leader lease. It starts when the leader sends a message
	 * that a majority acknowledges; until it expires, no other replica can be elected.
	 * @return the minimum election timeout in nanoseconds, shortened by twice the drift
	 * bound since the clocks of the leader and of the voter may both be off
	 */
	public long leaderLeaseNanos() {
		return (long) (this.minElectionNanos * (1 - 2 * this.driftBound));
	}

}

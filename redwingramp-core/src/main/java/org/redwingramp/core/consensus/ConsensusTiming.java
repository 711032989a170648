package org.redwingramp.core.consensus;

/**
 * The timing of the replicated log, in nanoseconds of a monotonic clock. Immutable and
 * thread safe.
 *
 * @param heartbeatNanos the time between two heartbeats of the leader
 * @param minElectionNanos the shortest election timeout; a replica that heard from a
 * leader within this time refuses votes
 * @param maxElectionNanos the longest election timeout
 * @param driftBound the largest relative difference of two clocks' rates
 */
public record ConsensusTiming(long heartbeatNanos, long minElectionNanos, long maxElectionNanos, double driftBound) {

	private static final long MILLISECOND = 1_000_000L;

	/** The timing used unless the settings say otherwise. */
	public static final ConsensusTiming DEFAULT = new ConsensusTiming(50 * MILLISECOND, 200 * MILLISECOND,
			400 * MILLISECOND, 0.01);

	/**
	 * Returns how long a member of an open group has to be silent before an instance of
	 * another name takes its place. Longer than the restart of a process takes, so that a
	 * restart moves no replica.
	 * @return the time in nanoseconds
	 */
	public long replaceAfterNanos() {
		return 5000 * MILLISECOND;
	}

	/**
	 * Returns how long after the start of a heartbeat round that a majority acknowledged
	 * the leader may still act as the only leader.
	 * @return the lease in nanoseconds, shortened by twice the drift bound since both
	 * clocks may be off
	 */
	public long leaderLeaseNanos() {
		return (long) (this.minElectionNanos * (1 - 2 * this.driftBound));
	}

}

package org.redwingramp.core.dispatch;

/**
 * Decides at once whether a request can be served in the time that its caller waits.
 * Under overload the least urgent requests are refused first. Immutable and thread safe.
 */
public final class Admission {

	/** The part of the remaining time that the most urgent requests may use up. */
	private static final double URGENT_PART = 1.0;

	/** How much smaller that part is for each further rank. */
	private static final double PART_PER_RANK = 0.15;

	private static final double LEAST_PART = 0.5;

	/** A caller honours a delay up to this part of its remaining time. */
	private static final double RETRY_PART = 1 / 3.0;

	private static final long MIN_RETRY_MILLIS = 20;

	/**
	 * Returns whether a request should be sent.
	 * @param waitMillis the expected wait at the target
	 * @param serviceMillis the mean time of a request there
	 * @param remainingMillis the time that the caller still waits
	 * @param priority the rank of the request, 0 is the highest
	 * @return whether it can be answered in time
	 */
	public boolean admits(double waitMillis, double serviceMillis, double remainingMillis, int priority) {
		double part = Math.max(LEAST_PART, URGENT_PART - priority * PART_PER_RANK);
		return waitMillis + serviceMillis <= remainingMillis * part;
	}

	/**
	 * Returns when a refused caller should come back: once the queue ahead of it has been
	 * worked off, but with enough time left to be served then.
	 * @param waitMillis the expected wait at the target
	 * @param serviceMillis the mean time of a request there
	 * @param remainingMillis the time that the caller still waits
	 * @return the delay in milliseconds
	 */
	public long retryAfterMillis(double waitMillis, double serviceMillis, double remainingMillis) {
		double usable = Math.min(remainingMillis * RETRY_PART, remainingMillis - serviceMillis);
		return (long) Math.max(MIN_RETRY_MILLIS, Math.min(waitMillis, usable));
	}

}

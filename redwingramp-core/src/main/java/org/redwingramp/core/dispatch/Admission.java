package org.redwingramp.core.dispatch;

/**
 * Admission control: decides without delay whether a request can be served within the
 * time for which its caller waits. Under overload, the requests with the lowest priority
 * are refused first. Immutable and thread safe.
 */
public final class Admission {

	/** Fraction of the remaining time that requests of the highest priority may use. */
	private static final double MAX_TIME_FRACTION = 1.0;

	/** Reduction of that fraction for each step of lower priority. */
	private static final double TIME_FRACTION_PER_PRIORITY = 0.15;

	/** Minimum of that fraction, which requests of every priority may use. */
	private static final double MIN_TIME_FRACTION = 0.5;

	/**
	 * Maximum fraction of its remaining time for which a caller honours a retry delay.
	 */
	private static final double MAX_RETRY_AFTER_FRACTION = 1 / 3.0;

	private static final long MIN_RETRY_AFTER_MILLIS = 20;

	/**
	 * Returns whether a request should be admitted.
	 * @param waitMillis the expected queueing time at the target
	 * @param serviceMillis the mean service time of a request at the target
	 * @param remainingMillis the time until the caller's deadline
	 * @param priority the priority of the request, 0 is the highest
	 * @return whether the response is expected within the time allowed for the priority
	 */
	public boolean admits(double waitMillis, double serviceMillis, double remainingMillis, int priority) {
		return waitMillis <= maxWaitMillis(serviceMillis, remainingMillis, priority);
	}

	/**
	 * Returns the longest time for which a request may wait before it runs.
	 * @param serviceMillis the mean service time of a request at the target
	 * @param remainingMillis the time until the caller's deadline
	 * @param priority the priority of the request, 0 is the highest
	 * @return the time in milliseconds, negative if the request can't be served
	 */
	public double maxWaitMillis(double serviceMillis, double remainingMillis, int priority) {
		double fraction = Math.max(MIN_TIME_FRACTION, MAX_TIME_FRACTION - priority * TIME_FRACTION_PER_PRIORITY);
		return remainingMillis * fraction - serviceMillis;
	}

	/**
	 * Returns the delay after which a refused caller should retry: the time until the
	 * current queue has been processed, limited so that the retry can be served before
	 * the deadline.
	 * @param waitMillis the expected queueing time at the target
	 * @param serviceMillis the mean service time of a request at the target
	 * @param remainingMillis the time until the caller's deadline
	 * @return the delay in milliseconds
	 */
	public long retryAfterMillis(double waitMillis, double serviceMillis, double remainingMillis) {
		double maxMillis = Math.min(remainingMillis * MAX_RETRY_AFTER_FRACTION, remainingMillis - serviceMillis);
		return (long) Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(waitMillis, maxMillis));
	}

}

package org.redwingramp.core.dispatch;

/**
 * Estimates the load, service time and health of a target from the requests of one entry
 * instance and the load that the target reports. Does not read the clock itself. Not
 * thread safe.
 */
public final class TargetTracker {

	/**
	 * Age at which a reported load is no longer used, because the queue of a target is
	 * replaced within a few service times.
	 */
	private static final long LOAD_EXPIRY_NANOS = 600_000_000L;

	/** Age up to which a reported load counts in full. */
	private static final long LOAD_FULL_WEIGHT_NANOS = 250_000_000L;

	/** Weight of a new response in the moving average of the service time. */
	private static final double RESPONSE_WEIGHT = 0.15;

	/** Number of consecutive failures after which a target is avoided. */
	private static final int AVOID_AFTER_FAILURES = 2;

	/** Initial time for which a target is avoided; doubled with each further failure. */
	private static final long INITIAL_AVOID_NANOS = 300_000_000L;

	private static final int MAX_AVOID_DOUBLINGS = 3;

	private final int slots;

	private double serviceMillis;

	private int inFlight;

	private int reportedRunning;

	private int reportedWaiting;

	private int sentSinceReport;

	private long lastReportNanos;

	private int consecutiveFailures;

	private long avoidUntilNanos;

	/**
	 * Creates a tracker.
	 * @param slots the number of requests that the target runs at once
	 * @param serviceMillis the initial estimate of the service time
	 * @param now the monotonic time in nanoseconds
	 */
	public TargetTracker(int slots, double serviceMillis, long now) {
		this.slots = Math.max(1, slots);
		this.serviceMillis = serviceMillis;
		this.lastReportNanos = now - LOAD_EXPIRY_NANOS;
		this.avoidUntilNanos = now;
	}

	/** Records that a request was sent. */
	public void sent() {
		this.inFlight++;
		this.sentSinceReport++;
	}

	/** Records that a request ended, with any outcome. */
	public void ended() {
		this.inFlight--;
	}

	/**
	 * Records the load that the target reported.
	 * @param running the number of running requests
	 * @param waiting the number of waiting requests
	 * @param now the monotonic time in nanoseconds
	 */
	public void loadReported(int running, int waiting, long now) {
		this.reportedRunning = running;
		this.reportedWaiting = waiting;
		this.sentSinceReport = 0;
		this.lastReportNanos = now;
	}

	/**
	 * Records a response.
	 * @param elapsedMillis the response time, including queueing at the target
	 */
	public void answered(double elapsedMillis) {
		double withoutQueueing = elapsedMillis / (1 + (double) this.reportedWaiting / this.slots);
		this.serviceMillis += (withoutQueueing - this.serviceMillis) * RESPONSE_WEIGHT;
		this.consecutiveFailures = 0;
	}

	/**
	 * Records that a request failed or received no usable response.
	 * @param now the monotonic time in nanoseconds
	 * @return whether the target is avoided as a result
	 */
	public boolean failed(long now) {
		this.consecutiveFailures++;
		if (this.consecutiveFailures < AVOID_AFTER_FAILURES) {
			return false;
		}
		int doublings = Math.min(MAX_AVOID_DOUBLINGS, this.consecutiveFailures - AVOID_AFTER_FAILURES);
		this.avoidUntilNanos = now + (INITIAL_AVOID_NANOS << doublings);
		return true;
	}

	/**
	 * Avoids the target for a time.
	 * @param nanos the duration
	 * @param now the monotonic time in nanoseconds
	 */
	public void avoid(long nanos, long now) {
		this.avoidUntilNanos = Math.max(this.avoidUntilNanos, now + nanos);
	}

	/**
	 * Returns whether requests should not be sent to the target at present.
	 * @param now the monotonic time in nanoseconds
	 * @return whether the target is avoided
	 */
	public boolean avoided(long now) {
		return now < this.avoidUntilNanos;
	}

	/**
	 * Estimates the time for which a request sent now would wait for a slot.
	 * @param now the monotonic time in nanoseconds
	 * @return the wait in milliseconds
	 */
	public double waitMillis(long now) {
		return requestsAhead(now) * this.serviceMillis / this.slots;
	}

	/**
	 * Returns the estimated service time of a request, without queueing.
	 * @return the service time in milliseconds
	 */
	public double serviceMillis() {
		return this.serviceMillis;
	}

	/**
	 * Returns the cost of sending a request to this target, for the choice among targets
	 * that can all run it.
	 * @param now the monotonic time in nanoseconds
	 * @return the expected response time in milliseconds
	 */
	public double expectedResponseMillis(long now) {
		double requests = Math.max(reportedRequests(now), this.inFlight);
		return this.serviceMillis * (1 + requests / this.slots);
	}

	// Estimates how many requests must end before a request sent now gets a slot.
	private double requestsAhead(long now) {
		return Math.max(0, Math.max(reportedRequests(now), this.inFlight) - this.slots + 1);
	}

	// Estimates the requests at the target from its last report and the requests sent
	// since. At first they count in full, since other entry instances send about as many
	// requests as the target completes; their weight then decreases linearly to zero.
	private double reportedRequests(long now) {
		long age = now - this.lastReportNanos;
		double expired = (age - LOAD_FULL_WEIGHT_NANOS) / (double) (LOAD_EXPIRY_NANOS - LOAD_FULL_WEIGHT_NANOS);
		double weight = Math.max(0, Math.min(1, 1 - expired));
		return weight * (this.reportedRunning + this.reportedWaiting + this.sentSinceReport);
	}

}

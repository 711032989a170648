package org.redwingramp.core.dispatch;

/**
 * What an entry instance knows of a target's load and health, from its own requests.
 * Reads no clock. Not thread safe.
 */
public final class TargetTracker {

	/**
	 * A load older than this says nothing: the queue of a target turns over in a few
	 * service times.
	 */
	private static final long LOAD_FRESH_NANOS = 600_000_000L;

	/** Until then a load is taken as it was told. */
	private static final long LOAD_HOLDS_NANOS = 250_000_000L;

	/** The weight of a new answer in the moving average of the service time. */
	private static final double SERVICE_WEIGHT = 0.15;

	/** Failures in a row after which a target is avoided. */
	private static final int AVOID_AFTER = 2;

	/** How long a target is avoided first; doubled with each further failure. */
	private static final long AVOID_NANOS = 300_000_000L;

	private static final int MAX_AVOID_DOUBLINGS = 3;

	private final int slots;

	private double serviceMillis;

	private int inFlight;

	private int running;

	private int waiting;

	private int sentSinceLoad;

	private long loadNanos;

	private int failures;

	private long avoidUntilNanos;

	/**
	 * Creates a tracker.
	 * @param slots the requests that the target runs at once
	 * @param serviceMillis the service time to assume at first
	 * @param now the monotonic time in nanoseconds
	 */
	public TargetTracker(int slots, double serviceMillis, long now) {
		this.slots = Math.max(1, slots);
		this.serviceMillis = serviceMillis;
		this.loadNanos = now - LOAD_FRESH_NANOS;
		this.avoidUntilNanos = now;
	}

	/** Notes that a request was sent. */
	public void sent() {
		this.inFlight++;
		this.sentSinceLoad++;
	}

	/** Notes that a request is over, however it ended. */
	public void ended() {
		this.inFlight--;
	}

	/**
	 * Notes the load that the target told.
	 * @param runningNow the requests that run
	 * @param waitingNow the requests that wait
	 * @param now the monotonic time in nanoseconds
	 */
	public void load(int runningNow, int waitingNow, long now) {
		this.running = runningNow;
		this.waiting = waitingNow;
		this.sentSinceLoad = 0;
		this.loadNanos = now;
	}

	/**
	 * Notes an answer.
	 * @param elapsedMillis how long it took, waiting at the target included
	 */
	public void answered(double elapsedMillis) {
		double alone = elapsedMillis / (1 + (double) this.waiting / this.slots);
		this.serviceMillis += (alone - this.serviceMillis) * SERVICE_WEIGHT;
		this.failures = 0;
	}

	/**
	 * Notes that a request got no usable answer, or a failure.
	 * @param now the monotonic time in nanoseconds
	 * @return whether the target is avoided from now on
	 */
	public boolean failed(long now) {
		this.failures++;
		if (this.failures < AVOID_AFTER) {
			return false;
		}
		int doublings = Math.min(MAX_AVOID_DOUBLINGS, this.failures - AVOID_AFTER);
		this.avoidUntilNanos = now + (AVOID_NANOS << doublings);
		return true;
	}

	/**
	 * Keeps requests away for a while.
	 * @param nanos how long
	 * @param now the monotonic time in nanoseconds
	 */
	public void avoid(long nanos, long now) {
		this.avoidUntilNanos = Math.max(this.avoidUntilNanos, now + nanos);
	}

	/**
	 * Returns whether the target is avoided.
	 * @param now the monotonic time in nanoseconds
	 * @return whether it is avoided
	 */
	public boolean avoided(long now) {
		return now < this.avoidUntilNanos;
	}

	/**
	 * Estimates how long a request sent now would wait for a slot.
	 * @param now the monotonic time in nanoseconds
	 * @return the wait in milliseconds
	 */
	public double waitMillis(long now) {
		return queue(now) * this.serviceMillis / this.slots;
	}

	/**
	 * Returns the mean time of a request without waiting.
	 * @return milliseconds
	 */
	public double serviceMillis() {
		return this.serviceMillis;
	}

	/**
	 * Returns how attractive the target is for a request that any target may run.
	 * @param now the monotonic time in nanoseconds
	 * @return the expected time of an answer in milliseconds
	 */
	public double cost(long now) {
		double busy = Math.max(known(now), this.inFlight);
		return this.serviceMillis * (1 + busy / this.slots);
	}

	private double queue(long now) {
		return Math.max(0, Math.max(known(now), this.inFlight) - this.slots + 1);
	}

	// What was told holds for a while, since other entry instances send as much as the
	// target works off, and then fades.
	private double known(long now) {
		long age = now - this.loadNanos;
		double faded = (age - LOAD_HOLDS_NANOS) / (double) (LOAD_FRESH_NANOS - LOAD_HOLDS_NANOS);
		double part = Math.max(0, Math.min(1, 1 - faded));
		return part * (this.running + this.waiting + this.sentSinceLoad);
	}

}

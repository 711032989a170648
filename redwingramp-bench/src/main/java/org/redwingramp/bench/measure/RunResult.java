package org.redwingramp.bench.measure;

import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * The statistics of one run as seen by its callers. Requests that arrive before the start
 * of the measured time are not counted. Not thread safe.
 */
final class RunResult {

	private static final long BUCKET_NANOS = 100 * VirtualTime.MILLIS;

	private final Histogram latency = new Histogram(100 * VirtualTime.SECONDS, 3);

	private final TreeMap<Long, long[]> bucketsByArrival = new TreeMap<>();

	private final long measuredFrom;

	private long requests;

	private long answered;

	private long answeredInTime;

	private long measuredUntil = Long.MAX_VALUE;

	private long attempts;

	RunResult(long measuredFrom) {
		this.measuredFrom = measuredFrom;
	}

	/**
	 * Sets the end of the time in which goodput is measured. Counting the responses after
	 * the load has ended would add the requests that are still queued then.
	 * @param end the time of the last arrival
	 */
	void measureUntil(long end) {
		this.measuredUntil = end;
	}

	void recordArrival(long time) {
		if (time >= this.measuredFrom) {
			this.requests++;
			bucket(time)[0]++;
		}
	}

	void recordAttempt(long arrival) {
		this.attempts += (arrival >= this.measuredFrom) ? 1 : 0;
	}

	/**
	 * Records the end of a request. The latency of an unanswered request is recorded as
	 * its full deadline, so that refusals don't improve the percentiles.
	 * @param arrival when the caller sent the request
	 * @param nanos the time until the caller received the response, or the deadline
	 * @param success whether the response was received before the deadline
	 */
	void recordEnd(long arrival, long nanos, boolean success) {
		long end = arrival + nanos;
		this.answeredInTime += (success && end >= this.measuredFrom && end <= this.measuredUntil) ? 1 : 0;
		if (arrival < this.measuredFrom) {
			return;
		}
		this.latency.recordValue(Math.max(1, nanos));
		this.answered += (success) ? 1 : 0;
		bucket(arrival)[1] += (success) ? 1 : 0;
	}

	private long[] bucket(long time) {
		return this.bucketsByArrival.computeIfAbsent(time / BUCKET_NANOS, (index) -> new long[2]);
	}

	/**
	 * Returns how long it takes after an event until at least a share of the requests of
	 * each 100 ms bucket is answered.
	 * @param event the time of the event
	 * @param share the minimum share of answered requests
	 * @return the time from the event to the end of the last bucket below the share, 0 if
	 * there is none
	 */
	long recoveryNanos(long event, double share) {
		return this.bucketsByArrival.tailMap(event / BUCKET_NANOS, true)
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue()[1] < share * entry.getValue()[0])
			.mapToLong((entry) -> (entry.getKey() + 1) * BUCKET_NANOS - event)
			.max()
			.orElse(0);
	}

	double latencyMillis(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / (double) VirtualTime.MILLIS;
	}

	long requests() {
		return this.requests;
	}

	/**
	 * Returns the rate of answered requests while the load lasts.
	 * @return the answered requests per second
	 */
	double goodput() {
		return this.answeredInTime * (double) VirtualTime.SECONDS / (this.measuredUntil - this.measuredFrom);
	}

	double answeredShare() {
		return (double) this.answered / this.requests;
	}

	/**
	 * Returns the load that retries and hedges add.
	 * @return the additional attempts as a share of the requests
	 */
	double addedLoad() {
		return (double) (this.attempts - this.requests) / this.requests;
	}

}

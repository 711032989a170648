package org.redwingramp.bench.measure;

import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * What the callers of one run saw. Requests before the start of the measured time are not
 * counted. Not thread safe.
 */
final class RunResult {

	private static final long BUCKET = 100 * VirtualTime.MILLIS;

	private final Histogram latency = new Histogram(100 * VirtualTime.SECONDS, 3);

	private final TreeMap<Long, long[]> byTime = new TreeMap<>();

	private final long from;

	private long requests;

	private long answered;

	private long answeredInTime;

	private long until = Long.MAX_VALUE;

	private long attempts;

	RunResult(long from) {
		this.from = from;
	}

	/**
	 * Ends the measured time for goodput. Requests that are answered after the load has
	 * ended would count a queue's worth of answers too many.
	 * @param end the time of the last arrival
	 */
	void until(long end) {
		this.until = end;
	}

	void arrived(long time) {
		if (time >= this.from) {
			this.requests++;
			bucket(time)[0]++;
		}
	}

	void attempted(long arrival) {
		this.attempts += (arrival >= this.from) ? 1 : 0;
	}

	/**
	 * Counts the end of a request. One without an answer enters the latencies with the
	 * time at which its deadline ends, so that refusals don't improve them.
	 * @param arrival when the caller sent the request
	 * @param nanos the time from the caller's send to its answer, or the deadline
	 * @param success whether the answer came in time
	 */
	void ended(long arrival, long nanos, boolean success) {
		long end = arrival + nanos;
		this.answeredInTime += (success && end >= this.from && end <= this.until) ? 1 : 0;
		if (arrival < this.from) {
			return;
		}
		this.latency.recordValue(Math.max(1, nanos));
		this.answered += (success) ? 1 : 0;
		bucket(arrival)[1] += (success) ? 1 : 0;
	}

	private long[] bucket(long time) {
		return this.byTime.computeIfAbsent(time / BUCKET, (index) -> new long[2]);
	}

	/**
	 * Returns when a share of the requests of each later tenth of a second is answered.
	 * @param event the time of the event
	 * @param share the share of answered requests
	 * @return the time from the event to the last bucket below the share, 0 if there is
	 * none
	 */
	long recovery(long event, double share) {
		return this.byTime.tailMap(event / BUCKET, true)
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue()[1] < share * entry.getValue()[0])
			.mapToLong((entry) -> (entry.getKey() + 1) * BUCKET - event)
			.max()
			.orElse(0);
	}

	double millis(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / (double) VirtualTime.MILLIS;
	}

	long requests() {
		return this.requests;
	}

	/**
	 * Returns the rate of answers while the load lasts.
	 * @return answers per second
	 */
	double goodput() {
		return this.answeredInTime * (double) VirtualTime.SECONDS / (this.until - this.from);
	}

	double answeredShare() {
		return (double) this.answered / this.requests;
	}

	/**
	 * Returns the load that retries and hedges add.
	 * @return the further sends as a share of the requests
	 */
	double addedLoad() {
		return (double) (this.attempts - this.requests) / this.requests;
	}

}

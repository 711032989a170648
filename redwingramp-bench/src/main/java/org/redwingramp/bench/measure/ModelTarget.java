package org.redwingramp.bench.measure;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.redwingramp.core.routing.TargetGate.GateResult;

/**
 * A model of a target with slots, a cache that is cold after a start, and a factor by
 * which the target is slowed. A warm target with more requests than slots divides its
 * speed among them. A cold target handles fewer requests concurrently. If more are
 * running, its cache doesn't warm, and service times grow with the square of the
 * occupancy (the ratio of running requests to those it can handle); above an occupancy of
 * 2 requests fail. Not thread safe.
 */
final class ModelTarget {

	/** Mean service time of a warm target; docs/design.md states none. */
	static final long MEAN_SERVICE_NANOS = 8 * VirtualTime.MILLIS;

	/** The factor by which a cold cache lengthens the service time. */
	static final double COLD_FACTOR = 5;

	/** The number of responses after which a cold cache is warm. */
	static final int RESPONSES_TO_WARM_UP = 150;

	private static final double SERVICE_TIME_SIGMA = 0.5;

	private static final double COLD_FAILURE_OCCUPANCY = 2;

	/**
	 * Up to this occupancy the requests merely use the slots that become available next
	 * with the warming cache.
	 */
	private static final double COLD_OVERLOAD_OCCUPANCY = 1.5;

	private static final long FAILURE_NANOS = 2 * VirtualTime.MILLIS;

	private final Set<Long> running = new HashSet<>();

	private final VirtualTime time;

	private final RandomGenerator random;

	private final int slots;

	private double warmth = 1;

	private double slowFactor = 1;

	private boolean stopped;

	private int maxRunning;

	private int failureCount;

	private int coldOverloadCount;

	private long lastStart;

	ModelTarget(VirtualTime time, RandomGenerator random, int slots) {
		this.time = time;
		this.random = random;
		this.slots = slots;
	}

	/**
	 * Starts to run a request.
	 * @param id identifies the request
	 * @param done receives the result; isn't invoked after a cancellation or a stop
	 */
	void serve(long id, Consumer<GateResult> done) {
		this.lastStart = this.time.now();
		if (this.stopped) {
			return;
		}
		this.running.add(id);
		this.maxRunning = Math.max(this.maxRunning, this.running.size());
		double occupancy = occupancy();
		boolean failed = this.warmth < 1 && occupancy > COLD_FAILURE_OCCUPANCY;
		double coldFactor = COLD_FACTOR - (COLD_FACTOR - 1) * this.warmth;
		double randomFactor = Math
			.exp(SERVICE_TIME_SIGMA * this.random.nextGaussian() - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2);
		double nanos = MEAN_SERVICE_NANOS * randomFactor * coldFactor * this.slowFactor * overloadFactor(occupancy);
		this.coldOverloadCount += (this.warmth < 1 && occupancy > COLD_OVERLOAD_OCCUPANCY) ? 1 : 0;
		this.time.after((failed) ? FAILURE_NANOS : (long) nanos, () -> finish(id, failed, done));
	}

	void cancel(long id) {
		this.running.remove(id);
	}

	private void finish(long id, boolean failed, Consumer<GateResult> done) {
		boolean overloaded = occupancy() > 1;
		if (this.stopped || !this.running.remove(id)) {
			return;
		}
		if (failed) {
			this.failureCount++;
		}
		else if (this.warmth < 1 && !overloaded) {
			this.warmth = Math.min(1, this.warmth + 1.0 / RESPONSES_TO_WARM_UP);
		}
		done.accept((failed) ? GateResult.FAILED : GateResult.ANSWERED);
	}

	private double overloadFactor(double occupancy) {
		return Math.max(1, (this.warmth < 1) ? occupancy * occupancy : occupancy);
	}

	private double occupancy() {
		return this.running.size() / (1 + this.warmth * (this.slots - 1));
	}

	void makeCold() {
		this.warmth = 0;
	}

	void setSlowFactor(double newFactor) {
		this.slowFactor = newFactor;
	}

	/**
	 * Stops or starts the target; it starts with a cold cache.
	 * @param newStopped whether the target is stopped and doesn't respond
	 */
	void setStopped(boolean newStopped) {
		this.stopped = newStopped;
		this.running.clear();
		this.warmth = 0;
	}

	int running() {
		return this.running.size();
	}

	int maxRunning() {
		return this.maxRunning;
	}

	long lastStart() {
		return this.lastStart;
	}

	int coldOverloadCount() {
		return this.coldOverloadCount;
	}

	int failureCount() {
		return this.failureCount;
	}

}

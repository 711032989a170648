package org.redwingramp.bench.measure;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.redwingramp.core.routing.TargetGate.GateResult;

/**
 * A small stand-in for a target: it has slots, a cache that is cold after a start, and a
 * factor by which it is slowed. Above its slots a warm target shares its speed among the
 * requests. A cold one handles less at once; above that each request takes longer by the
 * square of the excess and the cache doesn't warm, and above twice that requests fail.
 * Not thread safe.
 */
final class ModelTarget {

	/** Mean service time of a warm target; the design page states none. */
	static final long SERVICE_NANOS = 8 * VirtualTime.MILLIS;

	/** How much longer a request takes on a cold cache. */
	static final double COLD_FACTOR = 5;

	/** Answers that warm a cache. */
	static final int WARMING_ANSWERS = 150;

	private static final double SPREAD = 0.5;

	private static final double COLLAPSE = 2;

	/** Up to this excess the slots that warm next are merely used a little early. */
	private static final double COLLAPSE_FREE = 1.5;

	private static final long FAILURE_NANOS = 2 * VirtualTime.MILLIS;

	private final Set<Long> running = new HashSet<>();

	private final VirtualTime time;

	private final RandomGenerator random;

	private final int slots;

	private double warmth = 1;

	private double factor = 1;

	private boolean down;

	private int mostRunning;

	private int failures;

	private int coldOverloads;

	private long lastStart;

	ModelTarget(VirtualTime time, RandomGenerator random, int slots) {
		this.time = time;
		this.random = random;
		this.slots = slots;
	}

	/**
	 * Runs a request.
	 * @param id identifies the run
	 * @param done receives the result; never invoked after a cancellation
	 */
	void serve(long id, Consumer<GateResult> done) {
		this.lastStart = this.time.now();
		if (this.down) {
			return;
		}
		this.running.add(id);
		this.mostRunning = Math.max(this.mostRunning, this.running.size());
		double excess = excess();
		boolean failed = this.warmth < 1 && excess > COLLAPSE;
		double cold = COLD_FACTOR - (COLD_FACTOR - 1) * this.warmth;
		double drawn = Math.exp(SPREAD * this.random.nextGaussian() - SPREAD * SPREAD / 2);
		double nanos = SERVICE_NANOS * drawn * cold * this.factor * slowdown(excess);
		this.coldOverloads += (this.warmth < 1 && excess > COLLAPSE_FREE) ? 1 : 0;
		this.time.after((failed) ? FAILURE_NANOS : (long) nanos, () -> finish(id, failed, done));
	}

	void cancel(long id) {
		this.running.remove(id);
	}

	private void finish(long id, boolean failed, Consumer<GateResult> done) {
		boolean overloaded = excess() > 1;
		if (this.down || !this.running.remove(id)) {
			return;
		}
		if (failed) {
			this.failures++;
		}
		else if (this.warmth < 1 && !overloaded) {
			this.warmth = Math.min(1, this.warmth + 1.0 / WARMING_ANSWERS);
		}
		done.accept((failed) ? GateResult.FAILED : GateResult.ANSWERED);
	}

	private double slowdown(double excess) {
		return Math.max(1, (this.warmth < 1) ? excess * excess : excess);
	}

	private double excess() {
		return this.running.size() / (1 + this.warmth * (this.slots - 1));
	}

	void chill() {
		this.warmth = 0;
	}

	void slow(double newFactor) {
		this.factor = newFactor;
	}

	/**
	 * Stops or starts the target; a start is cold.
	 * @param stopped whether the target gives no answers
	 */
	void down(boolean stopped) {
		this.down = stopped;
		this.running.clear();
		this.warmth = 0;
	}

	int running() {
		return this.running.size();
	}

	int mostRunning() {
		return this.mostRunning;
	}

	long lastStart() {
		return this.lastStart;
	}

	int coldOverloads() {
		return this.coldOverloads;
	}

	int failures() {
		return this.failures;
	}

}

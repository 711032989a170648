package org.redwingramp.core.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What the control leader has seen of one life of a target: heartbeats, answers to calls
 * and what entry instances report. Not thread safe.
 */
final class TargetVitals {

	/**
	 * A target without a sign of life for this long is lost. Four intervals of the
	 * slowest heartbeat seen in use, 1.5 s.
	 */
	static final long LOST_AFTER_NANOS = 6_000_000_000L;

	/** How recent an entry instance's answer has to be for it to pass on a call. */
	static final long RELAY_FRESH_NANOS = 1_500_000_000L;

	/**
	 * The weight of a report of an entry instance in the moving average of the slowness.
	 * With eight instances that report four times a second it forgets in a second.
	 */
	private static final double SLOWNESS_WEIGHT = 0.03;

	private static final double MIN_SLOWNESS = 0.4;

	private static final double MAX_SLOWNESS = 6;

	private final long born;

	private final Map<String, Long> servedThrough = new HashMap<>();

	private long sequence = Long.MIN_VALUE;

	private long lastBeatNanos;

	private long lastServedNanos;

	private long lastCallNanos;

	private long firstFailureNanos;

	private boolean unanswered;

	private long coldUntilNanos;

	private double slowness = 1;

	TargetVitals(long born, long now) {
		this.born = born;
		this.lastBeatNanos = now;
		this.lastServedNanos = now - LOST_AFTER_NANOS;
		this.lastCallNanos = now - LOST_AFTER_NANOS;
		this.coldUntilNanos = now;
	}

	long born() {
		return this.born;
	}

	// Returns whether the heartbeat is newer than all seen.
	boolean beat(long number, long coldLeftNanos, long now) {
		if (number <= this.sequence) {
			return false;
		}
		this.sequence = number;
		this.lastBeatNanos = now;
		this.coldUntilNanos = now + coldLeftNanos;
		return true;
	}

	void coldFor(long nanos, long now) {
		this.coldUntilNanos = Math.max(this.coldUntilNanos, now + nanos);
	}

	void served(String entry, double expected, double elapsed, long now) {
		this.lastServedNanos = now;
		this.servedThrough.put(entry, now);
		if (expected > 0) {
			double ratio = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, elapsed / expected));
			this.slowness += (ratio - this.slowness) * SLOWNESS_WEIGHT;
		}
	}

	void call(boolean answered, long now) {
		if (answered) {
			this.lastCallNanos = now;
		}
		else if (!this.unanswered) {
			this.firstFailureNanos = now;
		}
		this.unanswered = !answered;
	}

	boolean cold(long now) {
		return now < this.coldUntilNanos;
	}

	long coldLeftMillis(long now) {
		return Math.max(0, (this.coldUntilNanos - now) / 1_000_000);
	}

	double slowness() {
		return this.slowness;
	}

	boolean lost(long now) {
		return now
				- Math.max(this.lastBeatNanos, Math.max(this.lastServedNanos, this.lastCallNanos)) > LOST_AFTER_NANOS;
	}

	// Returns whether calls don't get through and nothing newer says that it lives.
	boolean suspect(long now) {
		return this.unanswered && this.lastBeatNanos <= this.firstFailureNanos && relay(now).isEmpty();
	}

	boolean direct() {
		return !this.unanswered || this.lastBeatNanos > this.firstFailureNanos;
	}

	Optional<String> relay(long now) {
		return this.servedThrough.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue() < RELAY_FRESH_NANOS)
			.max(Comparator.comparingLong(Map.Entry::getValue))
			.map(Map.Entry::getKey);
	}

}

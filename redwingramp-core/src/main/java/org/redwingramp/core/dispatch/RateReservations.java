package org.redwingramp.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Token buckets by which the control leader shares the limited request rates of targets
 * among entry instances, one permit a request. A permit may be reserved for a later time.
 * Invariants: the permits of a target that become usable in any span are at most its rate
 * times the span plus the capacity of its bucket; a new bucket is empty, so that a new
 * leader doesn't repeat the burst of the former one; the number of permits that are
 * reserved for later is bounded, since a new leader doesn't know of them and grants its
 * own beside them. Reads no clock. Not thread safe.
 */
public final class RateReservations {

	private static final double NANOS_PER_SECOND = 1e9;

	/** Capacity of a bucket in seconds of its rate; at least one permit. */
	private static final double CAPACITY_SECONDS = 0.25;

	/**
	 * Maximum number of permits that are reserved for later: a fixed number and a part of
	 * those of a second. The next leader grants its own permits beside them.
	 */
	private static final double MAX_RESERVED = 3;

	private static final double MAX_RESERVED_SECONDS = 0.1;

	/**
	 * Rate at which requests are sent to a target that accepts fewer or none. Only a
	 * response shows that the limit has ended.
	 */
	private static final double MIN_PER_SECOND = 0.25;

	/** Buckets that were not used for this long are dropped. */
	private static final long UNUSED_NANOS = 60_000_000_000L;

	private final Map<String, Bucket> buckets = new HashMap<>();

	/**
	 * Reserves a permit for one request.
	 * @param target the name of the target
	 * @param perSecond the requests per second that all entry instances together may
	 * send; the lowest rate is used if it isn't a finite number
	 * @param maxDelayNanos the longest time until the permit becomes usable that is
	 * acceptable, in nanoseconds
	 * @param now the monotonic time in nanoseconds
	 * @return the reservation
	 */
	public Reservation reserve(String target, double perSecond, long maxDelayNanos, long now) {
		return this.buckets.computeIfAbsent(target, (name) -> new Bucket(now))
			.reserve(Double.isFinite(perSecond) ? Math.max(MIN_PER_SECOND, perSecond) : MIN_PER_SECOND, maxDelayNanos,
					now);
	}

	/**
	 * Drops the buckets that are no longer in use.
	 * @param now the monotonic time in nanoseconds
	 */
	public void dropUnused(long now) {
		this.buckets.values().removeIf((bucket) -> now - bucket.refilledNanos > UNUSED_NANOS);
	}

	/**
	 * The outcome of a reservation.
	 *
	 * @param granted whether the permit was reserved
	 * @param delayNanos the time until it becomes usable, or until one would if it was
	 * refused, in nanoseconds
	 */
	public record Reservation(boolean granted, long delayNanos) {
	}

	/** Holds the permits of a target; negative if permits were reserved for later. */
	private static final class Bucket {

		private double permits;

		private long refilledNanos;

		Bucket(long now) {
			this.refilledNanos = now;
		}

		Reservation reserve(double perSecond, long maxDelayNanos, long now) {
			double capacity = Math.max(1, perSecond * CAPACITY_SECONDS);
			double refill = perSecond * (now - this.refilledNanos) / NANOS_PER_SECOND;
			this.permits = Math.min(capacity, this.permits + refill);
			this.refilledNanos = now;
			long delay = (long) Math.max(0, (1 - this.permits) / perSecond * NANOS_PER_SECOND);
			double reserved = Math.max(0, 1 - this.permits);
			boolean granted = delay <= maxDelayNanos && reserved <= MAX_RESERVED + MAX_RESERVED_SECONDS * perSecond;
			if (granted) {
				this.permits--;
			}
			return new Reservation(granted, delay);
		}

	}

}

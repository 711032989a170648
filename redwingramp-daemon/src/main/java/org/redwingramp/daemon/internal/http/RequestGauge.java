package org.redwingramp.daemon.internal.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Counts and limits the callers' requests of this instance. Thread safe.
 *
 * <p>
 * Invariant: the count never exceeds the limit.
 */
public final class RequestGauge {

	private final int limit;

	private final LongSupplier clock;

	private final AtomicInteger current = new AtomicInteger();

	private final AtomicLong lastArrival = new AtomicLong();

	private volatile boolean stopping;

	/**
	 * Creates the gauge.
	 * @param limit the largest number of requests at once
	 * @param clock the monotonic clock in nanoseconds
	 */
	public RequestGauge(int limit, LongSupplier clock) {
		this.limit = limit;
		this.clock = clock;
		this.lastArrival.set(clock.getAsLong());
	}

	boolean enter() {
		this.lastArrival.set(this.clock.getAsLong());
		if (this.current.incrementAndGet() <= this.limit) {
			return true;
		}
		this.current.decrementAndGet();
		return false;
	}

	void leave() {
		this.current.decrementAndGet();
	}

	int limit() {
		return this.limit;
	}

	boolean stopping() {
		return this.stopping;
	}

	/** Makes the answers ask callers to close their connections. */
	public void stop() {
		this.stopping = true;
	}

	/**
	 * Returns the requests under way.
	 * @return the number of requests
	 */
	public int current() {
		return this.current.get();
	}

	/**
	 * Returns how long no request has arrived.
	 * @return the time in nanoseconds
	 */
	public long quietNanos() {
		return this.clock.getAsLong() - this.lastArrival.get();
	}

}

package org.redwingramp.daemon.internal.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Counts the callers' requests in flight on this instance and limits their number. Thread
 * safe.
 *
 * <p>
 * Invariant: the number of admitted requests never exceeds the limit.
 */
public final class RequestLimiter {

	private final int limit;

	private final LongSupplier clock;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicLong lastArrival = new AtomicLong();

	private volatile boolean stopping;

	/**
	 * Creates a limiter without requests.
	 * @param limit the maximum number of concurrent requests
	 * @param clock the monotonic clock in nanoseconds
	 */
	public RequestLimiter(int limit, LongSupplier clock) {
		this.limit = limit;
		this.clock = clock;
		this.lastArrival.set(clock.getAsLong());
	}

	boolean tryEnter() {
		this.lastArrival.set(this.clock.getAsLong());
		if (this.inFlight.incrementAndGet() <= this.limit) {
			return true;
		}
		this.inFlight.decrementAndGet();
		return false;
	}

	void leave() {
		this.inFlight.decrementAndGet();
	}

	int limit() {
		return this.limit;
	}

	boolean stopping() {
		return this.stopping;
	}

	/** Makes all further responses ask callers to close their connections. */
	public void closeConnections() {
		this.stopping = true;
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the number of requests
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Returns the time since the last request arrived.
	 * @return the time in nanoseconds
	 */
	public long idleNanos() {
		return this.clock.getAsLong() - this.lastArrival.get();
	}

}

package org.redwingramp.core.routing;

import java.util.OptionalLong;

import org.redwingramp.core.model.RequestClass;

/**
 * Decides when a request of a service that isn't divided by key is sent a second time, to
 * another target, while the first send still runs. Deterministic. Not thread safe; a lock
 * guards it.
 *
 * <p>
 * Invariants: only idempotent requests are hedged; each hedge takes one retry from the
 * service's budget.
 */
public interface HedgePolicy {

	/**
	 * Counts the answer to a first send.
	 * @param nanos the time from the arrival of the request to the whole answer
	 */
	void answered(long nanos);

	/**
	 * Returns how long to wait for the first send before the hedge.
	 * @param requestClass the request's class
	 * @return the delay in nanoseconds, or empty if the request isn't to be hedged
	 */
	OptionalLong delay(RequestClass requestClass);

	/**
	 * Takes a hedge from the budget, once its delay has passed.
	 * @return whether the hedge may be sent
	 */
	boolean tryHedge();

}

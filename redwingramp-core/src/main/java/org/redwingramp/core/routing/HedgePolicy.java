package org.redwingramp.core.routing;

import java.util.OptionalLong;

import org.redwingramp.core.model.RequestClass;

/**
 * Decides when a request is hedged, that is sent to a second target while the first
 * attempt is still in flight. Applies to services whose keys are not partitioned.
 * Deterministic. Not thread safe; callers guard it with a lock.
 *
 * <p>
 * Invariants: only idempotent requests are hedged; each hedge uses one retry of the
 * service's retry budget.
 */
public interface HedgePolicy {

	/**
	 * Records the response to a first attempt.
	 * @param nanos the time in nanoseconds from the arrival of the request to the
	 * complete response
	 */
	void responseReceived(long nanos);

	/**
	 * Returns how long to wait for the response to the first attempt before the hedge is
	 * sent.
	 * @param requestClass the request's class
	 * @return the delay in nanoseconds, or empty if the request must not be hedged
	 */
	OptionalLong delay(RequestClass requestClass);

	/**
	 * Takes one retry from the retry budget for a hedge whose delay has passed.
	 * @return whether the hedge may be sent
	 */
	boolean tryHedge();

}

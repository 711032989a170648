package org.redwingramp.core.routing.internal;

import java.util.Arrays;
import java.util.OptionalLong;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.routing.HedgePolicy;
import org.redwingramp.core.routing.RetryBudget;

/**
 * Hedges a request after a quantile of the most recent response times. Not thread safe;
 * callers guard it with a lock.
 */
public final class QuantileHedgePolicy implements HedgePolicy {

	/** With 256 response times, more than ten exceed the 95% quantile. */
	private static final int WINDOW_RESPONSES = 256;

	/** The number of responses after which the delay is computed again. */
	private static final int REFRESH_RESPONSES = 32;

	private final long[] responseNanos = new long[WINDOW_RESPONSES];

	private final double quantile;

	private final RetryBudget budget;

	private long responses;

	private long delayNanos;

	/**
	 * Creates the policy.
	 * @param quantile the quantile of the response times that is used as the delay, from
	 * 0 to 1
	 * @param budget the service's retry budget
	 */
	public QuantileHedgePolicy(double quantile, RetryBudget budget) {
		this.quantile = quantile;
		this.budget = budget;
	}

	@Override
	public void responseReceived(long nanos) {
		this.responseNanos[(int) (this.responses++ % WINDOW_RESPONSES)] = nanos;
		if (this.responses % REFRESH_RESPONSES == 0) {
			long[] sorted = Arrays.copyOf(this.responseNanos, (int) Math.min(this.responses, WINDOW_RESPONSES));
			Arrays.sort(sorted);
			this.delayNanos = sorted[(int) (this.quantile * (sorted.length - 1))];
		}
	}

	@Override
	public OptionalLong delay(RequestClass requestClass) {
		boolean mayHedge = requestClass.retryable() && this.delayNanos > 0;
		return (mayHedge) ? OptionalLong.of(this.delayNanos) : OptionalLong.empty();
	}

	@Override
	public boolean tryHedge() {
		return this.budget.tryRetry();
	}

}

package org.redwingramp.core.routing.internal;

import java.util.Arrays;
import java.util.OptionalLong;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.routing.HedgePolicy;
import org.redwingramp.core.routing.RetryBudget;

/**
 * Hedges after a quantile of the latest answers' times. Not thread safe; a lock guards
 * it.
 */
public final class QuantileHedgePolicy implements HedgePolicy {

	/** Enough answers that a 95% quantile rests on more than ten of them. */
	private static final int WINDOW = 256;

	private static final int REFRESH = 32;

	private final long[] times = new long[WINDOW];

	private final double quantile;

	private final RetryBudget budget;

	private long answers;

	private long delay;

	/**
	 * Creates the policy.
	 * @param quantile the quantile that gives the delay
	 * @param budget the service's retry budget
	 */
	public QuantileHedgePolicy(double quantile, RetryBudget budget) {
		this.quantile = quantile;
		this.budget = budget;
	}

	@Override
	public void answered(long nanos) {
		this.times[(int) (this.answers++ % WINDOW)] = nanos;
		if (this.answers % REFRESH == 0) {
			long[] sorted = Arrays.copyOf(this.times, (int) Math.min(this.answers, WINDOW));
			Arrays.sort(sorted);
			this.delay = sorted[(int) (this.quantile * (sorted.length - 1))];
		}
	}

	@Override
	public OptionalLong delay(RequestClass requestClass) {
		boolean hedged = requestClass.retryable() && this.delay > 0;
		return (hedged) ? OptionalLong.of(this.delay) : OptionalLong.empty();
	}

	@Override
	public boolean tryHedge() {
		return this.budget.tryRetry();
	}

}

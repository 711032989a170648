package org.redwingramp.core.routing;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class RetryBudgetTests {

	private static final int MINIMUM = 10;

	private final RetryBudget budget = RetryBudgets.ratio(RetryBudgets.DEFAULT_SHARE, MINIMUM);

	/** Guards against a storm of failures in which retries multiply the load. */
	@Test
	void shouldLimitRetriesToTheShareWhenEveryRequestFails() {
		long retries = IntStream.range(0, 10_000).filter((i) -> {
			this.budget.requested();
			return this.budget.tryRetry();
		}).count();
		assertThat(retries).isBetween(1000L, 1000L + MINIMUM);
	}

	/** Guards against a long quiet time that saves up a storm of retries. */
	@Test
	void shouldSaveUpNoMoreThanTheMinimum() {
		IntStream.range(0, 100_000).forEach((i) -> this.budget.requested());
		assertThat(IntStream.range(0, 1000).filter((i) -> this.budget.tryRetry()).count()).isEqualTo(MINIMUM);
	}

	/**
	 * Guards against a fleet whose entry instances each save up the retries that all of
	 * them together may send.
	 */
	@Test
	void shouldDropWhatItSavedUpWhenItsPartShrinksAndAddNothingWhenItGrows() {
		this.budget.saveAtMost(2);
		this.budget.saveAtMost(MINIMUM);
		assertThat(IntStream.range(0, 1000).filter((i) -> this.budget.tryRetry()).count()).isEqualTo(2);
	}

	/** Guards against a share that would multiply the load. */
	@Test
	void shouldRejectSharesOutsideItsRange() {
		assertThatIllegalArgumentException().isThrownBy(() -> RetryBudgets.ratio(1.1, 0));
		assertThatIllegalArgumentException().isThrownBy(() -> RetryBudgets.ratio(0.1, -1));
	}

}

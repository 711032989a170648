package org.redwingramp.core.routing;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class RetryBudgetTests {

	private static final int MAX_UNUSED_RETRIES = 10;

	private final RetryBudget budget = RetryBudgets.ratio(RetryBudgets.DEFAULT_SHARE, MAX_UNUSED_RETRIES);

	/** Guards against retries that multiply the load while every request fails. */
	@Test
	void shouldLimitRetriesToTheShareWhenEveryRequestFails() {
		long retries = IntStream.range(0, 10_000).filter((i) -> {
			this.budget.firstAttemptSent();
			return this.budget.tryRetry();
		}).count();
		assertThat(retries).isBetween(1000L, 1000L + MAX_UNUSED_RETRIES);
	}

	/** Guards against a burst of retries after a long time without failures. */
	@Test
	void shouldKeepNoMoreUnusedRetriesThanTheMaximum() {
		IntStream.range(0, 100_000).forEach((i) -> this.budget.firstAttemptSent());
		assertThat(IntStream.range(0, 1000).filter((i) -> this.budget.tryRetry()).count())
			.isEqualTo(MAX_UNUSED_RETRIES);
	}

	/**
	 * Guards against each entry instance keeping as many unused retries as all entry
	 * instances together may send. The maximum of an instance depends on their number.
	 */
	@Test
	void shouldDropUnusedRetriesWhenTheMaximumFallsAndAddNoneWhenItRises() {
		this.budget.limitUnusedRetries(2);
		this.budget.limitUnusedRetries(MAX_UNUSED_RETRIES);
		assertThat(IntStream.range(0, 1000).filter((i) -> this.budget.tryRetry()).count()).isEqualTo(2);
	}

	/** Guards against a retry share with which retries would multiply the load. */
	@Test
	void shouldRejectSettingsOutsideTheirRange() {
		assertThatIllegalArgumentException().isThrownBy(() -> RetryBudgets.ratio(1.1, 0));
		assertThatIllegalArgumentException().isThrownBy(() -> RetryBudgets.ratio(0.1, -1));
	}

}

package org.redwingramp.core.routing;

import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.RequestClass;

import static org.assertj.core.api.Assertions.assertThat;

class HedgePolicyTests {

	private final HedgePolicy policy = HedgePolicies.quantile(HedgePolicies.DEFAULT_QUANTILE,
			RetryBudgets.ratio(RetryBudgets.DEFAULT_SHARE, 1));

	/** Guards against a second run of a request that runs at most once. */
	@Test
	void shouldHedgeIdempotentRequestsOnly() {
		LongStream.rangeClosed(1, 256).forEach(this.policy::answered);
		assertThat(this.policy.delay(RequestClass.IDEMPOTENT)).hasValue(243);
		assertThat(this.policy.delay(RequestClass.AT_MOST_ONCE)).isEmpty();
		assertThat(this.policy.delay(RequestClass.DEFERRABLE)).isEmpty();
	}

	/** Guards against a delay that is guessed before answers were seen. */
	@Test
	void shouldNotHedgeBeforeItHasSeenAnswers() {
		assertThat(this.policy.delay(RequestClass.IDEMPOTENT)).isEmpty();
	}

	/** Guards against hedges beyond the retry budget. */
	@Test
	void shouldTakeHedgesFromTheBudget() {
		assertThat(IntStream.range(0, 10).filter((i) -> this.policy.tryHedge()).count()).isEqualTo(1);
	}

	/** Guards against a second send for a key that has one owner. */
	@Test
	void shouldNotHedgeServicesThatAreDividedByKey() {
		HedgePolicy none = HedgePolicies.none();
		LongStream.rangeClosed(1, 256).forEach(none::answered);
		assertThat(none.delay(RequestClass.IDEMPOTENT)).isEmpty();
		assertThat(none.tryHedge()).isFalse();
	}

}

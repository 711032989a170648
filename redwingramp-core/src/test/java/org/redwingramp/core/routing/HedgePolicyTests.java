package org.redwingramp.core.routing;

import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.RequestClass;

import static org.assertj.core.api.Assertions.assertThat;

class HedgePolicyTests {

	private final HedgePolicy policy = HedgePolicies.quantile(HedgePolicies.DEFAULT_QUANTILE,
			RetryBudgets.ratio(RetryBudgets.DEFAULT_SHARE, 1));

	/** Guards against running a request twice that must run at most once. */
	@Test
	void shouldHedgeOnlyIdempotentRequests() {
		LongStream.rangeClosed(1, 256).forEach(this.policy::responseReceived);
		assertThat(this.policy.delay(RequestClass.IDEMPOTENT)).hasValue(243);
		assertThat(this.policy.delay(RequestClass.AT_MOST_ONCE)).isEmpty();
		assertThat(this.policy.delay(RequestClass.DEFERRABLE)).isEmpty();
	}

	/** Guards against a hedge delay that is not based on observed response times. */
	@Test
	void shouldNotHedgeBeforeResponsesWereObserved() {
		assertThat(this.policy.delay(RequestClass.IDEMPOTENT)).isEmpty();
	}

	/** Guards against hedges that exceed the retry budget. */
	@Test
	void shouldTakeHedgesFromTheRetryBudget() {
		assertThat(IntStream.range(0, 10).filter((i) -> this.policy.tryHedge()).count()).isEqualTo(1);
	}

	/** Guards against a second attempt for a key, which has a single owner. */
	@Test
	void shouldNotHedgeServicesWithPartitionedKeys() {
		HedgePolicy none = HedgePolicies.none();
		LongStream.rangeClosed(1, 256).forEach(none::responseReceived);
		assertThat(none.delay(RequestClass.IDEMPOTENT)).isEmpty();
		assertThat(none.tryHedge()).isFalse();
	}

}

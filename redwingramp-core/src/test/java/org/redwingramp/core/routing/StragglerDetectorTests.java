package org.redwingramp.core.routing;

import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StragglerDetectorTests {

	private static final long NORMAL_NANOS = 10_000_000;

	private static final long INITIAL_EJECTION_NANOS = StragglerSettings.DEFAULT.initialEjectionNanos();

	private final StragglerDetector detector = StragglerDetectors.create();

	/**
	 * Guards against a slow target that is not ejected, and against a permanent ejection.
	 */
	@Test
	void shouldEjectASlowTargetTemporarily() {
		answerRequests(6, 0, NORMAL_NANOS, 20, 0);
		answerRequests(1, 5, 4 * NORMAL_NANOS, 20, 1);
		assertThat(this.detector.ejectedTargets(2)).isEqualTo(Set.of("t5"));
		assertThat(this.detector.ejectedTargets(INITIAL_EJECTION_NANOS + 2)).isEmpty();
	}

	/** Guards against ejections too short for a target that remains slow. */
	@Test
	void shouldDoubleTheEjectionOfATargetThatRemainsSlow() {
		answerRequests(6, 0, NORMAL_NANOS, 20, 0);
		answerRequests(1, 5, 4 * NORMAL_NANOS, 20, 0);
		answerRequests(1, 5, 4 * NORMAL_NANOS, 20, INITIAL_EJECTION_NANOS);
		assertThat(this.detector.ejectedTargets(INITIAL_EJECTION_NANOS + 2 * INITIAL_EJECTION_NANOS - 1))
			.isEqualTo(Set.of("t5"));
		assertThat(this.detector.ejectedTargets(INITIAL_EJECTION_NANOS + 2 * INITIAL_EJECTION_NANOS)).isEmpty();
	}

	/**
	 * Guards against a target that remains classified as slow because it no longer
	 * receives requests.
	 */
	@Test
	void shouldDiscardOldMeasurementsOfATargetWithoutRequests() {
		long maxEjectionNanos = StragglerSettings.DEFAULT.maxEjectionNanos();
		answerRequests(6, 0, NORMAL_NANOS, 20, 0);
		answerRequests(1, 5, 4 * NORMAL_NANOS, 20, 1);
		answerRequests(5, 0, NORMAL_NANOS, 20, maxEjectionNanos);
		assertThat(this.detector.slowTargets(maxEjectionNanos)).containsOnlyKeys("t5");
		assertThat(this.detector.slowTargets(maxEjectionNanos + 2)).isEmpty();
		answerRequests(1, 5, NORMAL_NANOS, 10, maxEjectionNanos + 2);
		assertThat(this.detector.slowTargets(maxEjectionNanos + 2)).isEmpty();
	}

	/** Guards against ejecting a target after a single slow response. */
	@Test
	void shouldNotEjectATargetAfterOneSlowResponse() {
		answerRequests(6, 0, NORMAL_NANOS, 20, 0);
		answerRequests(1, 5, 1000 * NORMAL_NANOS, 1, 0);
		assertThat(this.detector.ejectedTargets(0)).isEmpty();
	}

	/** Guards against ejecting the targets that a general slowdown affects first. */
	@Test
	void shouldNotEjectTargetsWhenAllAreSlow() {
		answerRequests(6, 0, NORMAL_NANOS, 20, 0);
		answerRequests(6, 0, 10 * NORMAL_NANOS, 40, 0);
		assertThat(this.detector.slowTargets(2 * INITIAL_EJECTION_NANOS)).isEmpty();
		assertThat(this.detector.ejectedTargets(20 * INITIAL_EJECTION_NANOS)).isEmpty();
	}

	/** Guards against so many ejections that the other targets are overloaded. */
	@Test
	void shouldEjectAtMostAThirdAndNoneOfTwo() {
		answerRequests(7, 0, NORMAL_NANOS, 20, 0);
		answerRequests(3, 0, 4 * NORMAL_NANOS, 20, 0);
		assertThat(this.detector.slowTargets(1)).containsOnlyKeys("t0", "t1", "t2");
		assertThat(this.detector.ejectedTargets(1)).hasSize(2);
		StragglerDetector pair = StragglerDetectors.create();
		IntStream.range(0, 20).forEach((i) -> pair.responseReceived("a", NORMAL_NANOS, 0));
		IntStream.range(0, 20).forEach((i) -> pair.responseReceived("b", 9 * NORMAL_NANOS, 0));
		assertThat(pair.ejectedTargets(1)).isEmpty();
	}

	/**
	 * Guards against overlooking an unresponsive target because it has no response times.
	 */
	@Test
	void shouldCountRequestsWithoutResponse() {
		answerRequests(6, 0, NORMAL_NANOS, 20, 0);
		IntStream.range(0, 10).forEach((i) -> this.detector.responseMissing("t2", 20 * NORMAL_NANOS, 0));
		assertThat(this.detector.ejectedTargets(0)).isEqualTo(Set.of("t2"));
		this.detector.targetRemoved("t2");
		assertThat(this.detector.ejectedTargets(0)).isEmpty();
		assertThat(this.detector.slowTargets(0)).isEmpty();
	}

	private void answerRequests(int targets, int firstTarget, long nanos, int responsesPerTarget, long now) {
		IntStream.range(0, responsesPerTarget * targets)
			.forEach((i) -> this.detector.responseReceived("t" + (firstTarget + i % targets), nanos, now));
	}

}

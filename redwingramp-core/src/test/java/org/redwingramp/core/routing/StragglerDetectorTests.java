package org.redwingramp.core.routing;

import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StragglerDetectorTests {

	private static final long NORMAL = 10_000_000;

	private static final long FIRST = StragglerSettings.DEFAULT.firstEjectionNanos();

	private final StragglerDetector detector = StragglerDetectors.create();

	/**
	 * Guards against a slow target that keeps its work, and against one ejected for ever.
	 */
	@Test
	void shouldEjectASlowTargetForATime() {
		answer(6, 0, NORMAL, 20, 0);
		answer(1, 5, 4 * NORMAL, 20, 1);
		assertThat(this.detector.ejected(2)).isEqualTo(Set.of("t5"));
		assertThat(this.detector.ejected(FIRST + 2)).isEmpty();
	}

	/** Guards against ever more traffic to a target that stays slow. */
	@Test
	void shouldEjectLongerEachTime() {
		answer(6, 0, NORMAL, 20, 0);
		answer(1, 5, 4 * NORMAL, 20, 0);
		answer(1, 5, 4 * NORMAL, 20, FIRST);
		assertThat(this.detector.ejected(FIRST + 2 * FIRST - 1)).isEqualTo(Set.of("t5"));
		assertThat(this.detector.ejected(FIRST + 2 * FIRST)).isEmpty();
	}

	/**
	 * Guards against a target that stays slow for ever because its work was moved away.
	 */
	@Test
	void shouldForgetASlowTargetThatGetsNoWork() {
		long longest = StragglerSettings.DEFAULT.longestEjectionNanos();
		answer(6, 0, NORMAL, 20, 0);
		answer(1, 5, 4 * NORMAL, 20, 1);
		answer(5, 0, NORMAL, 20, longest);
		assertThat(this.detector.slow(longest)).containsOnlyKeys("t5");
		assertThat(this.detector.slow(longest + 2)).isEmpty();
		answer(1, 5, NORMAL, 10, longest + 2);
		assertThat(this.detector.slow(longest + 2)).isEmpty();
	}

	/** Guards against one slow answer that ejects a target. */
	@Test
	void shouldKeepATargetAfterOneSlowAnswer() {
		answer(6, 0, NORMAL, 20, 0);
		answer(1, 5, 1000 * NORMAL, 1, 0);
		assertThat(this.detector.ejected(0)).isEmpty();
	}

	/** Guards against a general slowdown that ejects the targets it hits first. */
	@Test
	void shouldEjectNoneWhenAllAreSlow() {
		answer(6, 0, NORMAL, 20, 0);
		answer(6, 0, 10 * NORMAL, 40, 0);
		assertThat(this.detector.slow(2 * FIRST)).isEmpty();
		assertThat(this.detector.ejected(20 * FIRST)).isEmpty();
	}

	/** Guards against so many ejections that the rest is overloaded. */
	@Test
	void shouldEjectAtMostAThirdAndKeepTheLast() {
		answer(7, 0, NORMAL, 20, 0);
		answer(3, 0, 4 * NORMAL, 20, 0);
		assertThat(this.detector.slow(1)).containsOnlyKeys("t0", "t1", "t2");
		assertThat(this.detector.ejected(1)).hasSize(2);
		StragglerDetector pair = StragglerDetectors.create();
		IntStream.range(0, 20).forEach((i) -> pair.answered("a", NORMAL, 0));
		IntStream.range(0, 20).forEach((i) -> pair.answered("b", 9 * NORMAL, 0));
		assertThat(pair.ejected(1)).isEmpty();
	}

	/** Guards against a frozen target that goes unnoticed because it never answers. */
	@Test
	void shouldCountRequestsWithoutAnswer() {
		answer(6, 0, NORMAL, 20, 0);
		IntStream.range(0, 10).forEach((i) -> this.detector.unanswered("t2", 20 * NORMAL, 0));
		assertThat(this.detector.ejected(0)).isEqualTo(Set.of("t2"));
		this.detector.removed("t2");
		assertThat(this.detector.ejected(0)).isEmpty();
		assertThat(this.detector.slow(0)).isEmpty();
	}

	private void answer(int targets, int first, long nanos, int times, long now) {
		IntStream.range(0, times * targets)
			.forEach((i) -> this.detector.answered("t" + (first + i % targets), nanos, now));
	}

}

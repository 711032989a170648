package org.redwingramp.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.routing.TargetChooser.Candidate;

import static org.assertj.core.api.Assertions.assertThat;

class TargetChooserTests {

	private static final long NORMAL = 10_000_000;

	private final TargetChooser chooser = TargetChoosers.powerOfTwo(new Random(1));

	/** Guards against a busy or slow target that gets as much work as the others. */
	@Test
	void shouldAvoidTheLongestExpectedWait() {
		List<Candidate> candidates = List.of(candidate("a", 0, NORMAL, false), candidate("b", 6, NORMAL, false),
				candidate("c", 0, NORMAL, false));
		assertThat(count(candidates)).containsOnlyKeys("a", "c");
		List<Candidate> timed = List.of(candidate("a", 1, 8 * NORMAL, false), candidate("b", 2, NORMAL, false));
		assertThat(count(timed)).containsOnlyKeys("b");
	}

	/** Guards against an unknown service time that counts as infinitely fast. */
	@Test
	void shouldCompareByLoadAloneWhileATimeIsUnknown() {
		assertThat(count(List.of(candidate("a", 3, 0, false), candidate("b", 1, NORMAL, false)))).containsOnlyKeys("b");
	}

	/** Guards against work for an ejected target while others are left. */
	@Test
	void shouldUseEjectedTargetsOnlyWhenNoOtherIsLeft() {
		Candidate ejected = candidate("a", 0, NORMAL, true);
		assertThat(count(List.of(ejected, candidate("b", 9, NORMAL, false)))).containsOnlyKeys("b");
		assertThat(count(List.of(ejected))).containsOnlyKeys("a");
		assertThat(this.chooser.choose(List.of())).isEmpty();
	}

	/** Guards against a baseline that is better or worse than an even round robin. */
	@Test
	void shouldTakeTargetsInTurn() {
		TargetChooser roundRobin = TargetChoosers.roundRobin();
		List<Candidate> candidates = List.of(candidate("a", 9, NORMAL, true), candidate("b", 0, NORMAL, false));
		assertThat(IntStream.range(0, 4).mapToObj((i) -> roundRobin.choose(candidates).orElseThrow()))
			.containsExactly("a", "b", "a", "b");
		assertThat(roundRobin.choose(List.of())).isEmpty();
	}

	private Map<String, Long> count(List<Candidate> candidates) {
		return IntStream.range(0, 300)
			.mapToObj((i) -> this.chooser.choose(candidates).orElseThrow())
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
	}

	private Candidate candidate(String name, int busy, long serviceNanos, boolean ejected) {
		return new Candidate(name, 3, busy, serviceNanos, ejected);
	}

}

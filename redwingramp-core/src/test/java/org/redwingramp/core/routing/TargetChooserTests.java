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

	private static final long NORMAL_NANOS = 10_000_000;

	private final TargetChooser chooser = TargetChoosers.powerOfTwo(new Random(1));

	/** Guards against sending a busy or slow target as many requests as the others. */
	@Test
	void shouldAvoidTheLongestExpectedWait() {
		List<Candidate> candidates = List.of(candidate("a", 0, NORMAL_NANOS, false),
				candidate("b", 6, NORMAL_NANOS, false), candidate("c", 0, NORMAL_NANOS, false));
		assertThat(countSelections(candidates)).containsOnlyKeys("a", "c");
		List<Candidate> differentServiceTimes = List.of(candidate("a", 1, 8 * NORMAL_NANOS, false),
				candidate("b", 2, NORMAL_NANOS, false));
		assertThat(countSelections(differentServiceTimes)).containsOnlyKeys("b");
	}

	/** Guards against treating an unknown service time as zero. */
	@Test
	void shouldCompareOnlyLoadsWhileAServiceTimeIsUnknown() {
		assertThat(countSelections(List.of(candidate("a", 3, 0, false), candidate("b", 1, NORMAL_NANOS, false))))
			.containsOnlyKeys("b");
	}

	/** Guards against selecting an ejected target while there are other candidates. */
	@Test
	void shouldSelectEjectedTargetsOnlyWithoutOtherCandidates() {
		Candidate ejected = candidate("a", 0, NORMAL_NANOS, true);
		assertThat(countSelections(List.of(ejected, candidate("b", 9, NORMAL_NANOS, false)))).containsOnlyKeys("b");
		assertThat(countSelections(List.of(ejected))).containsOnlyKeys("a");
		assertThat(this.chooser.choose(List.of())).isEmpty();
	}

	/** Guards against a benchmark baseline that deviates from an even round robin. */
	@Test
	void shouldSelectTargetsInTurnAsRoundRobin() {
		TargetChooser roundRobin = TargetChoosers.roundRobin();
		List<Candidate> candidates = List.of(candidate("a", 9, NORMAL_NANOS, true),
				candidate("b", 0, NORMAL_NANOS, false));
		assertThat(IntStream.range(0, 4).mapToObj((i) -> roundRobin.choose(candidates).orElseThrow()))
			.containsExactly("a", "b", "a", "b");
		assertThat(roundRobin.choose(List.of())).isEmpty();
	}

	private Map<String, Long> countSelections(List<Candidate> candidates) {
		return IntStream.range(0, 300)
			.mapToObj((i) -> this.chooser.choose(candidates).orElseThrow())
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
	}

	private Candidate candidate(String name, int busy, long serviceNanos, boolean ejected) {
		return new Candidate(name, 3, busy, serviceNanos, ejected);
	}

}

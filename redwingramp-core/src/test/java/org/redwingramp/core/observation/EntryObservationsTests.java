package org.redwingramp.core.observation;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against observations that a leader never hears, that are reported again and
 * again, that replace later ones, or that are kept for ever.
 */
class EntryObservationsTests {

	private static final long SECOND = 1_000_000_000L;

	private final EntryObservations observations = new EntryObservations();

	@Test
	void shouldReportAnObservationOnce() {
		assertThat(this.observations.observed(ObservationKind.TARGET_LIMIT, "t", 4, 0)).isTrue();
		assertThat(this.observations.drainUnreported(SECOND))
			.containsExactly(new Observation(ObservationKind.TARGET_LIMIT, "t", 4, 1000));
		assertThat(this.observations.observed(ObservationKind.TARGET_LIMIT, "t", 4, 2 * SECOND)).isFalse();
		assertThat(this.observations.drainUnreported(2 * SECOND)).isEmpty();
	}

	// Guards against a limit that expires at the others while this instance sees it in
	// each response.
	@Test
	void shouldReportARepeatedObservationBeforeItExpires() {
		this.observations.observed(ObservationKind.TARGET_LIMIT, "t", 4, 0);
		this.observations.drainUnreported(0);
		assertThat(this.observations.observed(ObservationKind.TARGET_LIMIT, "t", 4,
				ObservationKind.TARGET_LIMIT.validityNanos() / 2))
			.isTrue();
	}

	// Guards against a new leader that knows nothing of what the former one was told by
	// instances that have ended since.
	@Test
	void shouldReportWhatItLearnedFromOthersToANewLeader() {
		this.observations.received(List.of(new Observation(ObservationKind.TARGET_LIMIT, "t", 4, 500)), SECOND);
		assertThat(this.observations.drainUnreported(SECOND)).isEmpty();
		this.observations.leaderChanged();
		assertThat(this.observations.drainUnreported(2 * SECOND))
			.containsExactly(new Observation(ObservationKind.TARGET_LIMIT, "t", 4, 1500));
	}

	// Guards against a report that was delayed and revives a limit which has ended.
	@Test
	void shouldIgnoreAnObservationThatIsOlderThanTheKnownOne() {
		this.observations.observed(ObservationKind.TARGET_LIMIT, "t", Observation.NONE, 5 * SECOND);
		this.observations.received(List.of(new Observation(ObservationKind.TARGET_LIMIT, "t", 4, 2000)), 6 * SECOND);
		assertThat(this.observations.value(ObservationKind.TARGET_LIMIT, "t", 6 * SECOND)).isEmpty();
		this.observations.received(List.of(new Observation(ObservationKind.TARGET_LIMIT, "t", 3, 500)), 6 * SECOND);
		assertThat(this.observations.value(ObservationKind.TARGET_LIMIT, "t", 6 * SECOND)).hasValue(3);
	}

	@Test
	void shouldDropAnObservationThatIsNotRepeated() {
		this.observations.observed(ObservationKind.TARGET_LIMIT, "t", 4, 0);
		long later = ObservationKind.TARGET_LIMIT.validityNanos();
		assertThat(this.observations.value(ObservationKind.TARGET_LIMIT, "t", later)).isEmpty();
		assertThat(this.observations.drainUnreported(later)).isEmpty();
	}

	// Guards against memory and reports that grow with the number of subjects ever seen.
	@Test
	void shouldBoundTheNumberOfSubjects() {
		int max = ObservationKind.TARGET_LIMIT.maxSubjects();
		IntStream.range(0, max + 100)
			.forEach((i) -> this.observations.observed(ObservationKind.TARGET_LIMIT, "t-" + i, 4, i));
		this.observations.leaderChanged();
		List<Observation> report = this.observations.drainUnreported(max + 100);
		assertThat(report).hasSize(max);
		assertThat(report).extracting(Observation::subject).doesNotContain("t-0").contains("t-" + (max + 99));
	}

}

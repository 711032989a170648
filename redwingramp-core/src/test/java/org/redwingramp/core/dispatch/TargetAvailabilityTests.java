package org.redwingramp.core.dispatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to a target after it said that it leaves or wants a pause.
 */
class TargetAvailabilityTests {

	private static final long MS = 1_000_000;

	/** Near the end of the range, where a comparison of plain values would overflow. */
	private static final long START = Long.MAX_VALUE - 100 * MS;

	private final TargetAvailability availability = new TargetAvailability();

	@Test
	void shouldAcceptRequestsUntilTheDrainTimeHasPassed() {
		assertThat(this.availability.leftBefore(START, 2000 * MS)).isFalse();
		assertThat(this.availability.leaves(START)).isTrue();
		assertThat(this.availability.leaves(START + 1000 * MS)).isFalse();
		assertThat(this.availability.leftBefore(START + 2000 * MS, 2000 * MS)).isFalse();
		assertThat(this.availability.leftBefore(START + 2000 * MS + 1, 2000 * MS)).isTrue();
	}

	/** Guards against a pause that an earlier or shorter one ends. */
	@Test
	void shouldKeepTheLongestPause() {
		this.availability.pauses(3000, START);
		this.availability.pauses(500, START + 100 * MS);
		assertThat(this.availability.pauseLeftMillis(START + 100 * MS)).isEqualTo(2900);
		assertThat(this.availability.pauseLeftMillis(START + 3000 * MS - 1)).isEqualTo(1);
		assertThat(this.availability.pauseLeftMillis(START + 3000 * MS)).isZero();
	}

	/**
	 * Guards against a target that is avoided for long because of a former incarnation.
	 */
	@Test
	void shouldTakeOverOnlyARecentPause() {
		this.availability.pauses(60_000, START);
		TargetAvailability next = new TargetAvailability();
		next.keepRecentPauseOf(this.availability, START + 6000 * MS);
		assertThat(next.pauseLeftMillis(START + 6000 * MS)).isZero();
		next.keepRecentPauseOf(this.availability, START + 5999 * MS);
		assertThat(next.pauseLeftMillis(START + 6000 * MS)).isEqualTo(54_000);
	}

	@Test
	void shouldBoundAPause() {
		this.availability.pauses(Long.MAX_VALUE, 0);
		assertThat(this.availability.pauseLeftMillis(0)).isEqualTo(TargetAvailability.MAX_PAUSE_MILLIS);
	}

}

package org.redwingramp.core.dispatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a cold target that is taken for warm by what was known before something
 * newer.
 */
class ColdPeriodTests {

	private static final long MS = 1_000_000;

	private final ColdPeriod period = new ColdPeriod(0);

	// Guards against a view that rests on a heartbeat from before the target became cold.
	@Test
	void shouldNotLetAStatementShortenWhatTheTargetHasJustNamed() {
		stated(0, 0);
		this.period.named(3000, 10 * MS);
		stated(0, 500 * MS);
		assertThat(this.period.cold(2000 * MS)).isTrue();
		stated(9000, 600 * MS);
		assertThat(this.period.leftMillis(600 * MS)).isEqualTo(9000);
	}

	// Guards against a target that is limited for long since it once named too long a
	// time.
	@Test
	void shouldLetALaterStatementEndWhatTheTargetNamed() {
		this.period.named(3_000_000, 0);
		stated(0, 6000 * MS);
		assertThat(this.period.cold(6000 * MS)).isFalse();
	}

	// Guards against a response that arrives late and ends the period too soon.
	@Test
	void shouldNotLetAResponseShortenThePeriod() {
		stated(3000, 0);
		this.period.named(10, MS);
		assertThat(this.period.leftMillis(0)).isEqualTo(3000);
	}

	private void stated(long leftMillis, long now) {
		this.period.viewed(leftMillis, false, false, false, 1, now);
	}

}

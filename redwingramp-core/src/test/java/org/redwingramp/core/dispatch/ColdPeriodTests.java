package org.redwingramp.core.dispatch;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.dispatch.ColdPeriod.Source;

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
		this.period.stated(0, 0);
		this.period.named(3000, 10 * MS);
		this.period.stated(0, 500 * MS);
		assertThat(this.period.cold(2000 * MS)).isTrue();
		this.period.stated(9000, 600 * MS);
		assertThat(this.period.leftMillis(600 * MS)).isEqualTo(9000);
	}

	// Guards against a target that is limited for long since it once named too long a
	// time.
	@Test
	void shouldLetALaterStatementEndWhatTheTargetNamed() {
		this.period.named(3_000_000, 0);
		this.period.stated(0, 6000 * MS);
		assertThat(this.period.cold(6000 * MS)).isFalse();
	}

	// Guards against a response that arrives late and ends the period too soon.
	@Test
	void shouldNotLetAResponseShortenThePeriod() {
		this.period.stated(3000, 0);
		this.period.named(10, MS);
		this.period.answered(MS, 0, 2 * MS);
		assertThat(this.period.leftMillis(0)).isEqualTo(3000);
	}

	// Guards against a possible restart that is forgotten by what anyone else says of the
	// former process, or by a response that the former process may have sent.
	@Test
	void shouldCountAsColdAfterAPossibleRestartUntilThePresentProcessResponds() {
		this.period.suspected(100 * MS);
		this.period.stated(0, 200 * MS);
		this.period.forget();
		this.period.assumed(0, 200 * MS);
		this.period.named(0, 200 * MS);
		this.period.contacted(99 * MS, 3000, 200 * MS);
		this.period.answered(99 * MS, 0, 200 * MS);
		assertThat(this.period.cold(1_000_000 * MS)).isTrue();
		assertThat(this.period.source()).isEqualTo(Source.SUSPECTED);
	}

	// Guards against a target that is spared for longer than it is cold.
	@Test
	void shouldEndAPossibleRestartByTheWordOfTheTarget() {
		this.period.suspected(0);
		this.period.contacted(MS, 3000, 2 * MS);
		assertThat(this.period.leftMillis(2 * MS)).isEqualTo(3000);
		this.period.answered(3 * MS, 500, 4 * MS);
		assertThat(this.period.leftMillis(4 * MS)).isEqualTo(500);
		this.period.suspected(5 * MS);
		this.period.answered(6 * MS, 0, 7 * MS);
		assertThat(this.period.cold(7 * MS)).isFalse();
	}

}

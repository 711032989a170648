package org.redwingramp.core.dispatch;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.dispatch.RateReservations.Reservation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against permits above the rate of a target, and against a target that never gets
 * a request again.
 */
class RateReservationsTests {

	private static final long SECOND = 1_000_000_000L;

	private final RateReservations reservations = new RateReservations();

	// Guards against a burst of a new leader in addition to that of the former one.
	@Test
	void shouldStartWithoutPermits() {
		assertThat(this.reservations.reserve("t", 4, 0, 0)).isEqualTo(new Reservation(false, SECOND / 4));
	}

	// Guards against a target whose limit is ignored for ever after one odd rate.
	@Test
	void shouldKeepTheLimitAfterARateThatIsNotANumber() {
		this.reservations.reserve("t", Double.NaN, 0, 0);
		this.reservations.reserve("t", Double.POSITIVE_INFINITY, 0, 0);
		assertThat(this.reservations.reserve("t", 4, 0, 0)).isEqualTo(new Reservation(false, SECOND / 4));
	}

	// Guards against requests that are refused although their permit is due in time.
	@Test
	void shouldReservePermitsInOrderForLater() {
		assertThat(this.reservations.reserve("t", 2, SECOND, 0)).isEqualTo(new Reservation(true, SECOND / 2));
		assertThat(this.reservations.reserve("t", 2, SECOND, 0)).isEqualTo(new Reservation(true, SECOND));
		assertThat(this.reservations.reserve("t", 2, SECOND, 0).granted()).isFalse();
		assertThat(this.reservations.reserve("t", 2, SECOND, SECOND)).isEqualTo(new Reservation(true, SECOND / 2));
	}

	// Guards against permits that pile up while a target gets no requests.
	@Test
	void shouldBoundTheBurstAfterAnIdleTime() {
		this.reservations.reserve("t", 20, 0, 0);
		long granted = IntStream.range(0, 50)
			.filter((i) -> this.reservations.reserve("t", 20, 0, 100 * SECOND).granted())
			.count();
		assertThat(granted).isEqualTo(5);
	}

	// Guards against a target that can't show that its limit has ended, since it gets no
	// request.
	@Test
	void shouldGrantAFewPermitsForATargetThatAcceptsNone() {
		this.reservations.reserve("t", 0, 0, 0);
		long granted = IntStream.range(1, 41)
			.filter((i) -> this.reservations.reserve("t", 0, 0, i * SECOND).granted())
			.count();
		assertThat(granted).isEqualTo(10);
	}

	// Guards against a limit that has fallen while permits at the former rate were due.
	@Test
	void shouldFollowALimitThatChanges() {
		this.reservations.reserve("t", 100, 0, 0);
		long atFormerRate = IntStream.range(0, 100)
			.filter((i) -> this.reservations.reserve("t", 100, 0, SECOND).granted())
			.count();
		long afterwards = IntStream.range(0, 100)
			.filter((i) -> this.reservations.reserve("t", 1, 0, SECOND + i * SECOND / 10).granted())
			.count();
		assertThat(atFormerRate).isEqualTo(25);
		assertThat(afterwards).isBetween(9L, 11L);
	}

	// Guards against a cold target that is flooded by the permits of two leaders: those
	// that the former one reserved for later, and those of its successor.
	@ParameterizedTest
	@ValueSource(ints = { 2, 11, 40, 200 })
	void shouldKeepThePermitsOfALeaderAndItsSuccessorWithinTheBoundOfAColdTarget(int perSecond) {
		TreeMap<Long, Integer> usable = new TreeMap<>();
		reserveAll(this.reservations, perSecond, 0, 3 * SECOND, usable);
		reserveAll(new RateReservations(), perSecond, 3 * SECOND, 6 * SECOND, usable);
		int most = usable.keySet()
			.stream()
			.mapToInt((time) -> usable.subMap(time, time + SECOND).values().stream().mapToInt(Integer::intValue).sum())
			.max()
			.orElseThrow();
		assertThat((double) most).isBetween(perSecond * 1.0, perSecond * 1.5 + 5);
	}

	// Asks for more permits than there are, each of which may become usable late, and
	// counts them by the time from which they are usable.
	private static void reserveAll(RateReservations leader, int perSecond, long from, long end,
			Map<Long, Integer> usable) {
		for (long now = from; now < end; now += SECOND / 400) {
			Reservation reservation = leader.reserve("t", perSecond, 5 * SECOND, now);
			if (reservation.granted()) {
				usable.merge(now + reservation.delayNanos(), 1, Integer::sum);
			}
		}
	}

	// Guards against targets of one service that share a rate by mistake.
	@Test
	void shouldKeepTargetsApart() {
		this.reservations.reserve("t", 1, SECOND, 0);
		assertThat(this.reservations.reserve("u", 1, SECOND, 0).granted()).isTrue();
	}

}

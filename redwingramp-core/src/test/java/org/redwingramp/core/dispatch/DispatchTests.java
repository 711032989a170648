package org.redwingramp.core.dispatch;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that an entry instance should not send: to a target whose queue
 * a burst has filled, to a cold target beyond the rate that all entry instances share,
 * and to a target that fails.
 */
class DispatchTests {

	private static final long MS = 1_000_000;

	private final Admission admission = new Admission();

	private final TargetTracker tracker = new TargetTracker(3, 100, 0);

	@Test
	void shouldRefuseRequestsOfLowPriorityFirstUnderOverload() {
		assertThat(this.admission.admits(300, 100, 500, 0)).isTrue();
		assertThat(this.admission.admits(300, 100, 500, 2)).isFalse();
		assertThat(this.admission.admits(100, 100, 500, 2)).isTrue();
		assertThat(this.admission.admits(450, 100, 500, 0)).isFalse();
	}

	@Test
	void shouldSetRetryAfterToTheQueueingTimeWithinTheDeadline() {
		assertThat(this.admission.retryAfterMillis(120, 100, 900)).isEqualTo(120);
		assertThat(this.admission.retryAfterMillis(800, 100, 900)).isEqualTo(300);
		assertThat(this.admission.retryAfterMillis(800, 100, 110)).isEqualTo(20);
	}

	@Test
	void shouldEstimateTheWaitFromTheReportedLoadUntilItExpires() {
		this.tracker.loadReported(3, 6, 1000 * MS);
		assertThat(this.tracker.waitMillis(1000 * MS)).isBetween(200.0, 260.0);
		assertThat(this.tracker.waitMillis(1250 * MS)).isBetween(200.0, 260.0);
		assertThat(this.tracker.waitMillis(1425 * MS)).isBetween(50.0, 130.0);
		assertThat(this.tracker.waitMillis(1600 * MS)).isZero();
	}

	@Test
	void shouldEstimateTheWaitFromItsOwnRequestsWithoutAReportedLoad() {
		IntStream.range(0, 6).forEach((i) -> this.tracker.sent());
		assertThat(this.tracker.waitMillis(5000 * MS)).isBetween(100.0, 140.0);
		IntStream.range(0, 6).forEach((i) -> this.tracker.ended());
		assertThat(this.tracker.waitMillis(5000 * MS)).isZero();
	}

	@Test
	void shouldLimitTheTotalRateOfTenEntryInstancesToAColdTarget() {
		int instances = 10;
		SharedRateLimiter[] rates = IntStream.range(0, instances)
			.mapToObj((i) -> new SharedRateLimiter(0, 1))
			.toArray(SharedRateLimiter[]::new);
		long sent = 0;
		for (long now = 0; now <= 1000 * MS; now += 5 * MS) {
			for (SharedRateLimiter rate : rates) {
				sent += rate.tryAcquire(9.9, instances, now) ? 1 : 0;
			}
		}
		assertThat(sent).isLessThanOrEqualTo((long) (9.9 * 1.5 + 5));
	}

	/**
	 * Guards against overloading a cold target when many entry instances each send it
	 * their first request in the same second, or each use a tenth of its rate regardless
	 * of their number.
	 */
	@Test
	void shouldLimitTheTotalRateOfAHundredEntryInstancesToAColdTarget() {
		int instances = 100;
		Random random = new Random(1);
		List<SharedRateLimiter> rates = IntStream.range(0, instances)
			.mapToObj((i) -> new SharedRateLimiter(0, random.nextDouble()))
			.toList();
		long[] sent = new long[5];
		for (long now = 0; now < 5000 * MS; now += 5 * MS) {
			for (SharedRateLimiter rate : rates) {
				sent[(int) (now / (1000 * MS))] += rate.tryAcquire(9.9, instances, now) ? 1 : 0;
			}
		}
		assertThat(Arrays.stream(sent).max().orElseThrow()).isLessThanOrEqualTo((long) (9.9 * 1.5 + 5));
	}

	@Test
	void shouldAvoidAFailingTargetForALimitedTime() {
		assertThat(this.tracker.failed(0)).isFalse();
		assertThat(this.tracker.failed(0)).isTrue();
		assertThat(this.tracker.avoided(100 * MS)).isTrue();
		assertThat(this.tracker.avoided(400 * MS)).isFalse();
		this.tracker.answered(80);
		assertThat(this.tracker.failed(500 * MS)).isFalse();
	}

}

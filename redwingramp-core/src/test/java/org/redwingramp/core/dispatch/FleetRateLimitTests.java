package org.redwingramp.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.dispatch.RateReservations.Reservation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: more requests than a target with a rate limit accepts, through many entry
 * instances that each see only a few of them. Guards against a total above the limit
 * while leaders change and instances are partitioned, and against a target that is left
 * idle because each instance waits for its own small share.
 */
class FleetRateLimitTests {

	private static final long MS = 1_000_000;

	private static final double LIMIT = 4;

	private static final double DEMAND_PER_SECOND = 20;

	private static final int WINDOW_MILLIS = 4000;

	/** The number of requests in a window that the platform's rule allows. */
	private static final int ALLOWED = (int) (1.5 * LIMIT * WINDOW_MILLIS / 1000) + 5;

	private final List<Integer> sentMillis = new ArrayList<>();

	private RateReservations leader = new RateReservations();

	// Guards against shares of the limit that are fixed: 4 a second over 88 instances is
	// one request in 22 seconds each.
	@ParameterizedTest
	@ValueSource(ints = { 8, 88 })
	void shouldUseTheLimitHoweverManyInstancesShareIt(int instances) {
		play(instances, 40_000, new Faults(List.of(), List.of(), 0));
		assertThat(maxInWindow(0)).isLessThanOrEqualTo(ALLOWED);
		assertThat(this.sentMillis).hasSizeGreaterThan((int) (0.95 * LIMIT * 40));
	}

	// Guards against a new leader that grants permits which the former one had granted.
	@ParameterizedTest
	@ValueSource(ints = { 8, 88 })
	void shouldNotExceedTheLimitWhileLeadersChange(int instances) {
		List<Integer> changes = List.of(5000, 6500, 9000, 15_000, 16_000, 17_000);
		play(instances, 30_000, new Faults(changes, List.of(), 0));
		assertThat(maxInWindow(0)).isLessThanOrEqualTo(ALLOWED);
	}

	// Guards against instances without a leader that keep sending as if they shared the
	// whole limit, or send what they saved up once they lose the leader again.
	@ParameterizedTest
	@ValueSource(ints = { 8, 88 })
	void shouldNotExceedTheLimitWhileInstancesArePartitioned(int instances) {
		List<Span> cuts = List.of(new Span(4000, 11_000), new Span(14_000, 15_000), new Span(18_000, 27_000));
		play(instances, 30_000, new Faults(List.of(), cuts, instances / 2));
		assertThat(maxInWindow(0)).isLessThanOrEqualTo(ALLOWED);
	}

	private void play(int instances, int millis, Faults faults) {
		for (int seed = 0; seed < 20; seed++) {
			this.sentMillis.clear();
			this.leader = new RateReservations();
			playOnce(instances, millis, faults, new Random(seed));
			assertThat(maxInWindow(0)).as("seed %s", seed).isLessThanOrEqualTo(ALLOWED);
		}
	}

	private void playOnce(int instances, int millis, Faults faults, Random random) {
		SharedRateLimiter[] shares = new SharedRateLimiter[instances];
		for (int ms = 0; ms < millis; ms++) {
			if (faults.leaderChanges().contains(ms)) {
				this.leader = new RateReservations();
			}
			if (random.nextDouble() >= DEMAND_PER_SECOND / 1000) {
				continue;
			}
			int entry = random.nextInt(instances);
			if (faults.leaderLost(ms, entry)) {
				sendWithinShare(shares, entry, ms, random);
			}
			else {
				shares[entry] = null;
				Reservation permit = this.leader.reserve("t", LIMIT, random.nextInt(500) * MS, ms * MS);
				if (permit.granted()) {
					this.sentMillis.add((int) (ms + random.nextInt(40) + permit.delayNanos() / MS));
				}
			}
		}
	}

	// As an entry instance does while no leader replies.
	private void sendWithinShare(SharedRateLimiter[] shares, int entry, int ms, Random random) {
		if (shares[entry] == null) {
			shares[entry] = new SharedRateLimiter(ms * MS, random.nextDouble());
		}
		if (shares[entry].tryAcquire(LIMIT / 2, Math.max(10, shares.length), ms * MS)) {
			this.sentMillis.add(ms + 150);
		}
	}

	private int maxInWindow(int from) {
		return this.sentMillis.stream()
			.filter((start) -> start >= from)
			.mapToInt((start) -> (int) this.sentMillis.stream()
				.filter((ms) -> ms >= start && ms < start + WINDOW_MILLIS)
				.count())
			.max()
			.orElse(0);
	}

	/**
	 * The disruptions of a run.
	 *
	 * @param leaderChanges when another leader begins, in milliseconds
	 * @param cuts when instances are partitioned from the leader
	 * @param cutInstances how many instances are partitioned
	 */
	private record Faults(List<Integer> leaderChanges, List<Span> cuts, int cutInstances) {

		private static final int ELECTION_MILLIS = 1000;

		boolean leaderLost(int ms, int entry) {
			boolean electing = this.leaderChanges.stream().anyMatch((at) -> ms >= at - ELECTION_MILLIS && ms < at);
			return electing || (entry < this.cutInstances && this.cuts.stream().anyMatch((cut) -> cut.contains(ms)));
		}

	}

	private record Span(int fromMillis, int untilMillis) {

		boolean contains(int ms) {
			return ms >= this.fromMillis && ms < this.untilMillis;
		}

	}

}

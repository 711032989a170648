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

	private static final Rule STATED_LIMIT = new Rule(4, 20, 4000);

	private static final Rule COLD_TARGET = new Rule(11, 200, 1000);

	private final List<Integer> sentMillis = new ArrayList<>();

	private RateReservations leader = new RateReservations();

	private Rule rule = STATED_LIMIT;

	// Guards against shares of the limit that are fixed: 4 a second over 88 instances is
	// one request in 22 seconds each.
	@ParameterizedTest
	@ValueSource(ints = { 8, 88 })
	void shouldUseTheLimitHoweverManyInstancesShareIt(int instances) {
		play(instances, 40_000, new Faults(List.of(), List.of(), 0));
		assertThat(maxInWindow(0)).isLessThanOrEqualTo(this.rule.allowed());
		assertThat(this.sentMillis).hasSizeGreaterThan((int) (0.95 * this.rule.limit() * 40));
	}

	// Guards against a new leader that grants permits which the former one had granted.
	@ParameterizedTest
	@ValueSource(ints = { 8, 88 })
	void shouldNotExceedTheLimitWhileLeadersChange(int instances) {
		List<Integer> changes = List.of(5000, 6500, 9000, 15_000, 16_000, 17_000);
		play(instances, 30_000, new Faults(changes, List.of(), 0));
		assertThat(maxInWindow(0)).isLessThanOrEqualTo(this.rule.allowed());
	}

	// Guards against a cold target that is flooded in the one second in which permits of
	// the former leader, shares without a leader and permits of the next one meet.
	@ParameterizedTest
	@ValueSource(ints = { 8, 10, 88 })
	void shouldNotFloodAColdTargetWhileLeadersChangeOrInstancesArePartitioned(int instances) {
		this.rule = COLD_TARGET;
		List<Span> cuts = List.of(new Span(1500, 4000), new Span(4300, 4700), new Span(8000, 8400));
		play(instances, 10_000, new Faults(List.of(3000, 5500, 7000, 7800), cuts, instances / 2));
	}

	// Guards against instances without a leader that keep sending as if they shared the
	// whole limit, or send what they saved up once they lose the leader again.
	@ParameterizedTest
	@ValueSource(ints = { 8, 88 })
	void shouldNotExceedTheLimitWhileInstancesArePartitioned(int instances) {
		List<Span> cuts = List.of(new Span(4000, 11_000), new Span(14_000, 15_000), new Span(18_000, 27_000));
		play(instances, 30_000, new Faults(List.of(), cuts, instances / 2));
		assertThat(maxInWindow(0)).isLessThanOrEqualTo(this.rule.allowed());
	}

	private void play(int instances, int millis, Faults faults) {
		for (int seed = 0; seed < 20; seed++) {
			this.sentMillis.clear();
			this.leader = new RateReservations();
			playOnce(instances, millis, faults, new Random(seed));
			assertThat(maxInWindow(0)).as("seed %s", seed).isLessThanOrEqualTo(this.rule.allowed());
		}
	}

	private void playOnce(int instances, int millis, Faults faults, Random random) {
		SharedRateLimiter[] shares = new SharedRateLimiter[instances];
		for (int ms = 0; ms < millis; ms++) {
			if (faults.leaderChanges().contains(ms)) {
				this.leader = new RateReservations();
			}
			if (random.nextDouble() >= this.rule.demandPerSecond() / 1000) {
				continue;
			}
			int entry = random.nextInt(instances);
			if (faults.leaderLost(ms, entry)) {
				sendWithinShare(shares, entry, ms, random);
			}
			else {
				shares[entry] = null;
				Reservation permit = this.leader.reserve("t", this.rule.limit(), random.nextInt(500) * MS, ms * MS);
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
		if (shares[entry].tryAcquire(this.rule.limit() / 2, Math.max(10, shares.length), ms * MS)) {
			this.sentMillis.add(ms + 150);
		}
	}

	private int maxInWindow(int from) {
		return this.sentMillis.stream()
			.filter((start) -> start >= from)
			.mapToInt((start) -> (int) this.sentMillis.stream()
				.filter((ms) -> ms >= start && ms < start + this.rule.windowMillis())
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

	/**
	 * A limit of the platform on the requests to one target.
	 *
	 * @param limit the requests per second that all entry instances together may send
	 * @param demandPerSecond the requests per second that callers send
	 * @param windowMillis the span in which the platform counts them
	 */
	private record Rule(double limit, double demandPerSecond, int windowMillis) {

		// Returns the number of requests in a window that the platform's rule allows.
		int allowed() {
			return (int) (1.5 * this.limit * this.windowMillis / 1000) + 5;
		}

	}

	private record Span(int fromMillis, int untilMillis) {

		boolean contains(int ms) {
			return ms >= this.fromMillis && ms < this.untilMillis;
		}

	}

}

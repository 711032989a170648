package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: targets start again or become cold while control leaders change, messages
 * are late and the load rises. Guards against more requests to a cold target than it
 * tolerates, and against targets that are spared although they are warm. A longer run by
 * hand: {@code -Dcold-flood.seeds=5000 -Dcold-flood.first=0}; with
 * {@code -Dcold-flood.trace=true} it prints what happened in the first run that fails.
 */
class ColdTargetFloodTests {

	private static final int ROUNDS = 16;

	private static final int CALM_MILLIS = 9000;

	private static final int OBSERVED_MILLIS = 3000;

	/** The least part of the rate that it tolerates which a cold target gets. */
	private static final double MIN_COLD_USE = 0.25;

	/**
	 * Guards against a flood of a cold target, and against a service that isn't restored
	 * after the faults, in any mix of restarts, cold periods, evacuations, new leaders,
	 * late messages and bursts.
	 */
	@Test
	void shouldNotFloodColdTargets() {
		checkRuns(false);
	}

	/**
	 * Guards against a flood of a cold target after all instances were lost at once, when
	 * only the log says what is known of it.
	 */
	@Test
	void shouldNotFloodColdTargetsAfterALossOfAllInstances() {
		checkRuns(true);
	}

	/**
	 * Guards against warm targets that are limited after a loss of all instances, until
	 * their heartbeats have found the new leader.
	 */
	@Test
	void shouldServeAtTheFullRateAfterALossOfAllInstances() {
		LongStream.range(0, 10).forEach((seed) -> {
			ColdFleet fleet = new ColdFleet(seed, 8);
			fleet.advance(CALM_MILLIS);
			fleet.targets.forEach((target) -> target.cutFromControl = true);
			fleet.loseAllInstances(300);
			fleet.advance(1000);
			fleet.loadFactor = 2.5;
			checkFullService(fleet);
		});
	}

	/**
	 * Guards against a limit for warm targets while a new leader has heard of none: what
	 * the former leader stated of them still holds.
	 */
	@Test
	void shouldServeAtTheFullRateWhileANewLeaderHasHeardOfNoTarget() {
		LongStream.range(0, 10).forEach((seed) -> {
			ColdFleet fleet = new ColdFleet(seed, 8);
			fleet.advance(CALM_MILLIS);
			fleet.targets.forEach((target) -> target.cutFromControl = true);
			fleet.endLeadership(300).ifPresent((former) -> former.alive = false);
			fleet.loadFactor = 2.5;
			checkFullService(fleet);
		});
	}

	private static void checkRuns(boolean losses) {
		long first = Long.getLong("cold-flood.first", 0);
		List<String> failures = LongStream.range(first, first + Long.getLong("cold-flood.seeds", 150))
			.mapToObj((seed) -> failureOf(seed, losses))
			.filter((failure) -> !failure.isEmpty())
			.toList();
		assertThat(failures).as("%d seeds fail", failures.size()).isEmpty();
	}

	// Returns the seed and the reason for which its run failed, empty if it passed.
	private static String failureOf(long seed, boolean losses) {
		List<String> trace = new ArrayList<>();
		ColdFleet fleet = new ColdFleet(seed, 6 + (int) (seed % 3));
		if (Boolean.getBoolean("cold-flood.trace")) {
			fleet.traceTo(trace);
		}
		try {
			play(fleet, new Random(seed + 1), losses);
			if (Boolean.getBoolean("cold-flood.figures")) {
				System.out.println("seed " + seed + ": most " + fleet.check.most() + ", excused "
						+ fleet.check.excused() + ", served " + fleet.served() + " of " + fleet.requests());
			}
			return "";
		}
		catch (AssertionError ex) {
			trace.forEach(System.out::println);
			return "seed " + seed + ": " + ex.getMessage();
		}
	}

	private static void play(ColdFleet fleet, Random faults, boolean losses) {
		fleet.advance(4000);
		fleet.heartbeatLoss = 0.3 * faults.nextDouble();
		IntStream.range(0, ROUNDS).forEach((round) -> {
			if (losses && faults.nextInt(5) == 0) {
				fleet.loseAllInstances(100 + faults.nextInt(900));
			}
			else {
				disturb(fleet, faults);
			}
			fleet.advance(faults.nextBoolean() ? faults.nextInt(200) : 100 + faults.nextInt(1200));
		});
		fleet.advance(2000);
		fleet.heartbeatLoss = 0;
		fleet.loadFactor = 1;
		fleet.entries.forEach(ColdEntry::reconnect);
		fleet.targets.forEach((target) -> target.cutFromControl = false);
		fleet.advance(CALM_MILLIS);
		checkFullService(fleet);
		checkColdTargetsAreUsed(fleet);
	}

	private static void disturb(ColdFleet fleet, Random faults) {
		ColdEntry entry = fleet.entries.get(faults.nextInt(fleet.entries.size()));
		switch (faults.nextInt(13)) {
			case 0, 1 -> restartSome(fleet, faults);
			case 2 -> some(fleet, faults).forEach(fleet::becomeCold);
			case 3 -> evacuate(fleet, faults);
			case 4, 5 -> changeLeader(fleet, faults);
			case 6 -> {
				restartSome(fleet, faults);
				fleet.time.schedule(faults.nextInt(2000), () -> changeLeader(fleet, faults));
			}
			case 7 -> freezeShortly(fleet, faults.nextInt(350));
			case 8 -> some(fleet.entries, faults).forEach((cut) -> cut.cut(200 + faults.nextInt(3000)));
			case 9 -> some(fleet.entries, faults).forEach((
					stalled) -> stalled.stalledUntilNanos = fleet.time.now() + faults.nextInt(1000) * SimulatedTime.MS);
			case 10 -> entry.restart(100 + faults.nextInt(500));
			case 11 -> some(fleet, faults).forEach((target) -> cutFromControl(fleet, target, faults.nextInt(2500)));
			default -> {
				fleet.loadFactor = 2.5;
				fleet.time.schedule(1000 + faults.nextInt(2000), () -> fleet.loadFactor = 1);
			}
		}
	}

	private static List<ColdTarget> some(ColdFleet fleet, Random faults) {
		return some(fleet.targets, faults);
	}

	private static <T> List<T> some(List<T> all, Random faults) {
		double share = List.of(0.15, 0.6, 1.0).get(faults.nextInt(3));
		return all.stream().filter((one) -> faults.nextDouble() < share).toList();
	}

	private static void restartSome(ColdFleet fleet, Random faults) {
		int down = 50 + faults.nextInt(1200);
		some(fleet, faults).stream()
			.filter((target) -> target.up)
			.forEach((target) -> fleet.restart(target, down + faults.nextInt(100), faults.nextInt(10) < 7));
	}

	// The targets of the domain may become cold shortly before it returns.
	private static void evacuate(ColdFleet fleet, Random faults) {
		String domain = "d-" + faults.nextInt(3);
		fleet.setDomainOut(domain, true, () -> fleet.time.schedule(200 + faults.nextInt(2500), () -> {
			fleet.targets.stream()
				.filter((target) -> target.up && target.domain.equals(domain) && faults.nextInt(10) < 7)
				.forEach((target) -> fleet.time.schedule(faults.nextInt(500), () -> fleet.becomeCold(target)));
			fleet.time.schedule(500, () -> fleet.setDomainOut(domain, false, () -> {
			}));
		}));
	}

	// The former leader's process ends, its machine is lost, it is cut off from the other
	// replicas, or it is frozen.
	private static void changeLeader(ColdFleet fleet, Random faults) {
		int delay = 300 + faults.nextInt(1200);
		boolean overlaps = faults.nextInt(4) == 0;
		int how = faults.nextInt(4);
		fleet.endLeadership(delay).ifPresent((former) -> {
			if (how < 2) {
				former.alive = false;
				if (how == 0) {
					fleet.entries.forEach((entry) -> entry.linkLost(former));
				}
				return;
			}
			// Its lease ends before the next leader begins, or it takes it for valid for
			// some time more.
			boolean frozen = how == 3;
			int acting = frozen ? 0 : delay + (overlaps ? faults.nextInt(300) : -faults.nextInt(delay));
			int back = delay + (frozen ? faults.nextInt(1500) : 0);
			if (frozen) {
				former.freeze();
				fleet.time.schedule(back, former::thaw);
			}
			fleet.time.schedule(acting, () -> former.mayAct = false);
			fleet.time.schedule(back + 300 + faults.nextInt(300), former::stopLeading);
		});
	}

	private static void freezeShortly(ColdFleet fleet, int millis) {
		fleet.leader().filter((leader) -> !leader.frozen()).ifPresent((leader) -> {
			leader.freeze();
			fleet.time.schedule(millis, leader::thaw);
		});
	}

	private static void cutFromControl(ColdFleet fleet, ColdTarget target, int millis) {
		target.cutFromControl = true;
		fleet.time.schedule(millis, () -> target.cutFromControl = false);
	}

	private static void checkFullService(ColdFleet fleet) {
		int requests = fleet.requests();
		int served = fleet.served();
		fleet.advance(OBSERVED_MILLIS);
		assertThat(fleet.served() - served).as("served of %d requests", fleet.requests() - requests)
			.isGreaterThan((int) (0.95 * (fleet.requests() - requests)));
	}

	// All targets start again, and nobody else can serve the requests.
	private static void checkColdTargetsAreUsed(ColdFleet fleet) {
		fleet.targets.forEach((target) -> fleet.restart(target, 200, true));
		fleet.advance(200);
		Map<String, Integer> before = coldArrivals(fleet);
		fleet.advance((int) ColdTarget.COLD_MILLIS);
		coldArrivals(fleet).forEach((target, arrivals) -> assertThat(arrivals - before.get(target))
			.as("requests of cold target %s", target)
			.isGreaterThanOrEqualTo((int) (MIN_COLD_USE * ColdFleet.COLD_PER_SECOND * ColdTarget.COLD_MILLIS / 1000)));
	}

	private static Map<String, Integer> coldArrivals(ColdFleet fleet) {
		return fleet.targets.stream()
			.collect(Collectors.toMap((target) -> target.name, (target) -> fleet.check.arrivals(target.name)));
	}

}

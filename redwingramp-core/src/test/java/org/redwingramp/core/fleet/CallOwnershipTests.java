package org.redwingramp.core.fleet;

import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.KeyRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against keys with two owners, and against keys that stay without an owner, when
 * targets are granted keys by calls that may be carried out late. A longer run by hand:
 * {@code -Dcall-ownership.seeds=5000 -Dcall-ownership.first=0}. With
 * {@code -Dcall-ownership.by-fences-alone=true}, a grant that is carried out after its
 * time has ended counts too, although it gives no keys: such a run fails, since an owner
 * that can't be reached or has started again is shown no higher fence. With
 * {@code -Dcall-ownership.frozen-millis=3000}, the last grants of leaders arrive within
 * that time, as those of a frozen process may that doesn't reset its connections.
 */
class CallOwnershipTests {

	private static final int FAULTS = 40;

	private static final int MIN_SERVING = 3;

	private static final int MAX_SERVING = 6;

	/** Time after the last fault within which all keys are served again. */
	private static final int RECOVERY_MILLIS = 15_000;

	/**
	 * Balancing goes on, so some range may be on its way at any given moment. Each key is
	 * served in the last part of the recovery, which is shorter than a lease.
	 */
	private static final int OBSERVED_MILLIS = 3000;

	/**
	 * Guards against keys that aren't granted, or not served by those who hold them, when
	 * nothing fails.
	 */
	@Test
	void shouldGrantAllKeysByCalls() {
		CallFleet fleet = new CallFleet(1, 4);
		fleet.advance(6000);
		assertThat(fleet.servedKeys().cardinality()).isEqualTo(KeyRange.KEYS);
	}

	/**
	 * Guards against two owners of a key, an owner with an outdated fence and keys that
	 * nobody serves, after any mix of late calls, lost replies, cuts and new leaders.
	 */
	@Test
	void shouldGiveKeysOnlyOneOwnerAlthoughCallsAreCarriedOutLate() {
		playSeeds((fleet, faults) -> disturb(fleet, faults));
	}

	/**
	 * Guards against two owners of a key after a switch between the two ways of granting
	 * keys, while calls are carried out late and leaders change, and after the restart of
	 * a target that has released its keys to a new leader.
	 */
	@Test
	void shouldGiveKeysOnlyOneOwnerAfterSwitchesAndRestartsBesideNewLeaders() {
		playSeeds((fleet, faults) -> {
			switch (faults.nextInt(6)) {
				case 0 -> switchBesideNewLeaders(fleet, faults);
				case 1 -> releaseAndRestart(fleet, faults);
				default -> disturb(fleet, faults);
			}
		});
	}

	private static void playSeeds(BiConsumer<CallFleet, Random> disturbance) {
		long first = Long.getLong("call-ownership.first", 0);
		List<String> failures = LongStream.range(first, first + Long.getLong("call-ownership.seeds", 200))
			.mapToObj((seed) -> failureOf(seed, disturbance))
			.filter((failure) -> !failure.isEmpty())
			.toList();
		assertThat(failures).as("%d seeds fail", failures.size()).isEmpty();
	}

	private static void switchBesideNewLeaders(CallFleet fleet, Random faults) {
		fleet.switchMode();
		if (faults.nextBoolean()) {
			fleet.advance(faults.nextInt(600));
		}
		fleet.changeLeader(faults.nextInt(300));
		fleet.advance(faults.nextInt(600));
		List<CallTarget> serving = fleet.serving();
		if (serving.size() > MIN_SERVING) {
			serving.get(faults.nextInt(serving.size())).drain();
		}
		fleet.reportHotKey(faults.nextInt(KeyRange.KEYS));
	}

	private static void releaseAndRestart(CallFleet fleet, Random faults) {
		joinUpTo(fleet, MAX_SERVING);
		fleet.advance(1500);
		fleet.network.queuedOfFive = 5;
		fleet.changeLeader(0);
		fleet.network.queuedOfFive = 1;
		fleet.advance(50);
		List<CallTarget> serving = fleet.serving();
		CallTarget target = serving.get(faults.nextInt(serving.size()));
		target.drain();
		fleet.sendHeartbeat(target);
		fleet.advance(150 + faults.nextInt(400));
		fleet.restart(target);
	}

	/**
	 * Guards against keys that aren't served until their lease has ended, because the
	 * owner has seen the fence of a release that the former leader sent.
	 */
	@Test
	void shouldServeAllKeysBeforeALeaseEndsAfterNewLeaders() {
		LongStream.range(0, 20).forEach((seed) -> {
			CallFleet fleet = new CallFleet(seed, 5);
			Random faults = new Random(seed + 1);
			fleet.advance(4000);
			IntStream.range(0, 10).forEach((round) -> {
				fleet.reportHotKey(faults.nextInt(KeyRange.KEYS));
				fleet.advance(faults.nextInt(1000));
				fleet.changeLeader(faults.nextInt(300));
				assertThat(servedWithin(fleet, 3000)).as("keys served after new leader %d, seed %d", round, seed)
					.isEqualTo(KeyRange.KEYS);
			});
		});
	}

	// Returns the seed and the reason for which its run failed, empty if it passed.
	private static String failureOf(long seed, BiConsumer<CallFleet, Random> disturbance) {
		try {
			play(seed, disturbance);
			return "";
		}
		catch (AssertionError ex) {
			return "seed " + seed + ": " + ex.getMessage();
		}
	}

	private static void play(long seed, BiConsumer<CallFleet, Random> disturbance) {
		CallFleet fleet = new CallFleet(seed, 5);
		Random faults = new Random(seed + 1);
		fleet.advance(4000);
		fleet.network.loss = 0.3 * faults.nextDouble();
		fleet.network.late = 0.7 * faults.nextDouble();
		IntStream.range(0, FAULTS).forEach((round) -> {
			disturbance.accept(fleet, faults);
			fleet.advance(faults.nextBoolean() ? faults.nextInt(150) : 100 + faults.nextInt(1500));
		});
		fleet.network.loss = 0;
		fleet.network.late = 0;
		fleet.targets.forEach(CallOwnershipTests::reconnect);
		joinUpTo(fleet, MIN_SERVING);
		checkRecovery(fleet);
	}

	private static void disturb(CallFleet fleet, Random faults) {
		List<CallTarget> serving = fleet.serving();
		CallTarget target = serving.get(faults.nextInt(serving.size()));
		boolean spare = serving.size() > MIN_SERVING;
		switch (spare ? faults.nextInt(11) : 3 + faults.nextInt(8)) {
			case 0 -> crash(fleet, target, faults.nextInt(8000));
			case 1 -> target.drain();
			case 2 -> leave(fleet, target, faults.nextInt(3000));
			case 3 -> fleet.changeLeader(faults.nextInt(1500));
			case 4 -> changeLeaderOften(fleet, faults);
			case 5 -> fleet.restart(target);
			case 6 -> cut(fleet, target, false, faults.nextInt(7000));
			case 7 -> cut(fleet, target, true, faults.nextInt(7000));
			case 8 -> joinUpTo(fleet, Math.min(MAX_SERVING, serving.size() + 1));
			default -> fleet.reportHotKey(faults.nextInt(KeyRange.KEYS));
		}
	}

	private static void changeLeaderOften(CallFleet fleet, Random faults) {
		IntStream.rangeClosed(0, 1 + faults.nextInt(4)).forEach((change) -> {
			fleet.changeLeader(faults.nextInt(300));
			fleet.advance(300 + faults.nextInt(500));
		});
	}

	// The target comes back under its name, or another one starts at its address.
	private static void crash(CallFleet fleet, CallTarget target, int millis) {
		target.alive = false;
		fleet.time.schedule(millis, () -> {
			if (millis % 2 == 0) {
				fleet.restart(target);
			}
			else {
				fleet.join(target.address);
			}
		});
	}

	private static void leave(CallFleet fleet, CallTarget target, int millis) {
		fleet.leave(target);
		fleet.time.schedule(millis, () -> target.alive = false);
	}

	private static void cut(CallFleet fleet, CallTarget target, boolean alsoFromEntries, int millis) {
		target.cutFromControl = true;
		target.cutFromEntries = alsoFromEntries;
		fleet.time.schedule(millis, () -> reconnect(target));
	}

	private static void reconnect(CallTarget target) {
		target.cutFromControl = false;
		target.cutFromEntries = false;
	}

	private static void joinUpTo(CallFleet fleet, int size) {
		IntStream.range(fleet.serving().size(), size)
			.forEach((i) -> fleet.join("10.0.1." + fleet.targets.size() + ":80"));
	}

	private static int servedWithin(CallFleet fleet, int millis) {
		BitSet served = new BitSet(KeyRange.KEYS);
		for (int i = 0; i < millis; i += 100) {
			fleet.advance(100);
			served.or(fleet.servedKeys());
		}
		return served.cardinality();
	}

	private static void checkRecovery(CallFleet fleet) {
		fleet.advance(RECOVERY_MILLIS - OBSERVED_MILLIS);
		assertThat(servedWithin(fleet, OBSERVED_MILLIS)).as("keys that are served 15 s after the faults")
			.isEqualTo(KeyRange.KEYS);
		assertThat(fleet.targets).as("targets that drain and hold keys")
			.noneMatch(
					(target) -> target.stage != Stage.SERVING && target.held(fleet.time.now()).findAny().isPresent());
	}

}

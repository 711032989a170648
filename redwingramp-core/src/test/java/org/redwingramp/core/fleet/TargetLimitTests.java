package org.redwingramp.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.fleet.EntryReport.KeyUse;
import org.redwingramp.core.fleet.EntryReport.TargetUse;
import org.redwingramp.core.observation.EntryObservations;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationKind;
import org.redwingramp.core.ownership.KeyRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: a target states a rate limit to one entry instance, below the rate of the
 * requests for its keys. Guards against instances that aren't told, limits of earlier
 * incarnations, and keys that stay where their requests are refused.
 */
class TargetLimitTests {

	private static final String LIMITED = "t-1";

	private static final double LIMIT = 2;

	private static final double REQUEST_MILLIS = 90;

	private final FakeFleet fleet = new FakeFleet();

	@BeforeEach
	void joinTargets() {
		IntStream.range(0, 4).forEach((i) -> this.fleet.join("t-" + i, 1, "10.0.0." + i + ":80"));
		this.fleet.advance(3000);
	}

	@Test
	void shouldTellAllEntryInstances() {
		ViewState before = view();
		state(LIMIT, 30);
		FleetView update = view().changesSince(before, 1, Optional.empty(), this.fleet.now);
		assertThat(update.observations())
			.containsExactly(new Observation(ObservationKind.TARGET_LIMIT, LIMITED, LIMIT, 30));
		assertThat(view().changesSince(view(), 1, Optional.empty(), this.fleet.now).observations()).isEmpty();
	}

	// Guards against views that are sent for each response with the same limit.
	@Test
	void shouldNotChangeTheViewForARepeatedLimit() {
		state(LIMIT, 0);
		ViewState before = view();
		this.fleet.now += 100 * FakeFleet.MS;
		state(LIMIT, 0);
		assertThat(view().differs(before)).isFalse();
	}

	// Guards against a leader that ignores what was observed before its term.
	@Test
	void shouldLearnTheLimitAgainAfterALeaderChange() {
		EntryObservations entry = new EntryObservations();
		entry.observed(ObservationKind.TARGET_LIMIT, LIMITED, LIMIT, this.fleet.now);
		this.fleet.advance(1000);
		this.fleet.startLeadership();
		assertThat(this.fleet.controller.viewObservations()).isEmpty();
		report(entry.drainUnreported(this.fleet.now));
		assertThat(this.fleet.controller.viewObservations()).singleElement()
			.satisfies((observed) -> assertThat(observed.value()).isEqualTo(LIMIT));
	}

	// Guards against a target that comes back under the same name and is held to the
	// limit of its former life, also by a report that arrives late.
	@Test
	void shouldWithdrawTheLimitOfAnEarlierIncarnation() {
		state(LIMIT, 0);
		this.fleet.advance(200);
		this.fleet.join(LIMITED, 2, "10.0.0.1:80");
		assertThat(view().changesSince(ViewState.EMPTY, 1, Optional.empty(), this.fleet.now).observations())
			.containsExactly(new Observation(ObservationKind.TARGET_LIMIT, LIMITED, Observation.NONE, 0));
		state(LIMIT, 100);
		assertThat(this.fleet.controller.viewObservations()).extracting("value").containsExactly(Observation.NONE);
	}

	// Guards against a restarted target that is held to a limit which only its former
	// incarnation stated, and which the leader hears of only now.
	@Test
	void shouldIgnoreALimitThatWasObservedBeforeTheTargetJoined() {
		this.fleet.join(LIMITED, 2, "10.0.0.1:80");
		this.fleet.advance(100);
		state(LIMIT, 300);
		assertThat(this.fleet.controller.viewObservations()).isEmpty();
		state(LIMIT, 20);
		assertThat(this.fleet.controller.viewObservations()).hasSize(1);
	}

	// Guards against observations of targets that were never heard of, which could fill
	// the table.
	@Test
	void shouldIgnoreTheLimitOfAnUnknownTarget() {
		report(List.of(new Observation(ObservationKind.TARGET_LIMIT, "stranger", LIMIT, 0)));
		assertThat(this.fleet.controller.viewObservations()).isEmpty();
	}

	// Guards against permits of a leader that hasn't heard of the limit yet, or knows an
	// outdated one.
	@Test
	void shouldReserveByTheLatestLimit() {
		Observation former = new Observation(ObservationKind.TARGET_LIMIT, LIMITED, 100, 500);
		state(LIMIT, 0);
		assertThat(this.fleet.controller.reserve(LIMITED, 100, Optional.of(former), 0, this.fleet.now).delayNanos())
			.isEqualTo((long) (1e9 / LIMIT));
	}

	// Guards against the balancing of keys by slots and speed alone: the limited target
	// looks idle and gets even more keys.
	@Test
	void shouldMoveKeysAwayFromALimitedTarget() {
		for (int i = 0; i < 60; i++) {
			int offset = i * 97 % 8192;
			List<KeyUse> uses = IntStream.range(0, 8)
				.mapToObj((key) -> new KeyUse("s", key * 8192 + offset, (float) REQUEST_MILLIS))
				.toList();
			List<TargetUse> targets = IntStream.range(0, 4)
				.mapToObj((target) -> new TargetUse("t-" + target, 2, 2 * REQUEST_MILLIS, 2 * REQUEST_MILLIS))
				.toList();
			this.fleet.controller.report("front-1", new EntryReport(targets, uses, List.of()), this.fleet.now);
			if (i == 20) {
				state(LIMIT, 0);
			}
			this.fleet.advance(100);
		}
		long limitedKeys = ownedKeys(LIMITED);
		assertThat(limitedKeys).isLessThan(KeyRange.KEYS / 16);
		assertThat(this.fleet.servedKeys()).isEqualTo(KeyRange.KEYS);
	}

	private long ownedKeys(String target) {
		return this.fleet.controller.viewKeys()
			.get("s")
			.stream()
			.filter((range) -> range.owner().equals(target))
			.mapToLong((range) -> range.last() - range.first() + 1L)
			.sum();
	}

	private void state(double perSecond, long ageMillis) {
		report(List.of(new Observation(ObservationKind.TARGET_LIMIT, LIMITED, perSecond, ageMillis)));
	}

	private void report(List<Observation> observations) {
		this.fleet.controller.report("front-1", new EntryReport(List.of(), List.of(), observations), this.fleet.now);
	}

	private ViewState view() {
		return ViewState.of(1, 1, 1, List.of(), Map.of(), this.fleet.controller.viewObservations(), 0);
	}

}

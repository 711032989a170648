package org.redwingramp.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.observation.EntryObservations;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationTable;
import org.redwingramp.core.observation.ObservationTable.Observed;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: a request crashes each target that runs it and comes again through any
 * entry instance. Guards against a fleet that sends it on and on, and against refusals of
 * requests that were only beside it.
 */
class CrashSuspectsTests {

	private static final long MS = 1_000_000;

	private static final String DEADLY = "deadly";

	private static final String HOT = "hot lookup";

	private final List<Entry> entries = new ArrayList<>();

	private final Deque<Delivery> deliveries = new ArrayDeque<>();

	private ObservationTable leader = new ObservationTable();

	private boolean electing;

	private long now;

	// Guards against evidence that stays with the instance that saw the crash.
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 88 })
	void shouldStopADeadlyRequestAtTheThirdCrashAtTheLatest(int instances) {
		for (int seed = 0; seed < 20; seed++) {
			restart(instances);
			int crashes = repeat(new Random(seed), 30, 900, List.of());
			assertThat(crashes).as("seed %s", seed).isLessThanOrEqualTo(3);
			assertThat(this.entries).allMatch((entry) -> entry.quarantined(DEADLY));
		}
	}

	// Guards against a hot lookup that is in flight at each crash and answered between
	// them, by any instance.
	@ParameterizedTest
	@ValueSource(ints = { 8, 88 })
	void shouldNotQuarantineARequestThatIsAnsweredBetweenCrashes(int instances) {
		for (int seed = 0; seed < 20; seed++) {
			restart(instances);
			repeat(new Random(seed), 12, 900, List.of(HOT));
			assertThat(this.entries).noneMatch((entry) -> entry.quarantined(HOT));
		}
	}

	// Guards against a request that is refused after a single crash, because two
	// instances
	// had connections to the target and both observed it.
	@Test
	void shouldCountACrashOnceThatTwoInstancesObserve() {
		EntryObservations first = new EntryObservations();
		EntryObservations second = new EntryObservations();
		assertThat(new CrashSuspects(first).crashed(DEADLY, 1000 * MS)).isEqualTo(1);
		second.received(first.drainUnreported(1050 * MS), 1100 * MS);
		CrashSuspects suspects = new CrashSuspects(second);
		assertThat(suspects.crashed(DEADLY, 1200 * MS)).isEqualTo(1);
		assertThat(suspects.quarantineLeftMillis(DEADLY, 1200 * MS)).isEmpty();
	}

	// Guards against a new leader that starts without evidence.
	@Test
	void shouldRememberAcrossLeaderChanges() {
		for (int seed = 0; seed < 20; seed++) {
			restart(8);
			Random random = new Random(seed);
			int crashes = 0;
			for (int i = 0; i < 6; i++) {
				crashes += repeat(random, 1, 900, List.of());
				this.leader = new ObservationTable();
				this.entries.forEach((entry) -> entry.observations.leaderChanged());
				advance(300);
			}
			assertThat(crashes).as("seed %s", seed).isLessThanOrEqualTo(3);
		}
	}

	// Guards against an instance that sends the request on while it is cut off.
	@Test
	void shouldDecideAloneWithoutALeader() {
		restart(1);
		this.electing = true;
		assertThat(repeat(new Random(1), 10, 900, List.of())).isEqualTo(2);
	}

	// Guards against an attacker who makes the fleet forget the guilty request.
	@Test
	void shouldNotForgetADeadlyRequestAmongManyOthers() {
		restart(2);
		repeat(new Random(1), 4, 900, List.of());
		IntStream.range(0, 5000).forEach((i) -> this.entries.get(0).suspects.crashed("other-" + i, this.now + i));
		advance(1000);
		assertThat(this.entries).allMatch((entry) -> entry.quarantined(DEADLY));
		assertThat(this.leader.published()).hasSizeLessThanOrEqualTo(512);
	}

	// Guards against a single crash, or a crash and its echo at another instance, that
	// counts as two.
	@Test
	void shouldNotQuarantineAfterOneCrash() {
		restart(3);
		this.entries.get(0).suspects.crashed("copy", this.now);
		this.entries.get(1).suspects.crashed("copy", this.now + MS);
		advance(500);
		this.leader = new ObservationTable();
		this.entries.forEach((entry) -> entry.observations.leaderChanged());
		advance(500);
		assertThat(this.entries).noneMatch((entry) -> entry.quarantined("copy"));
	}

	// Guards against evidence that counts again when it arrives late: an instance that
	// was suspended reads a view which had waited in its socket, and takes it as newer.
	@Test
	void shouldNotCountADelayedCopyAsAnotherCrash() {
		restart(2);
		this.entries.get(0).suspects.crashed("copy", this.now);
		advance(500);
		List<Observation> delayed = this.leader.published()
			.stream()
			.map((observed) -> observed.toSend(this.now))
			.toList();
		advance(5000);
		this.entries.get(1).observations.received(delayed, this.now);
		this.entries.get(1).observations.leaderChanged();
		advance(500);
		assertThat(this.entries).noneMatch((entry) -> entry.quarantined("copy"));
	}

	// Guards against crashes of two targets by one request of which only one is counted,
	// since the router sends the request to the second at once.
	@Test
	void shouldCountCrashesInQuickSuccession() {
		restart(1);
		this.entries.get(0).suspects.crashed(DEADLY, this.now);
		this.entries.get(0).suspects.crashed(DEADLY, this.now + 20 * MS);
		assertThat(this.entries.get(0).suspects.quarantineLeftMillis(DEADLY, this.now + 20 * MS)).hasValue(600_001);
	}

	// Guards against a quarantine without an end, and against one that has to be earned
	// again by several crashes.
	@Test
	void shouldEndTheQuarantineUntilTheNextCrash() {
		restart(1);
		assertThat(repeat(new Random(1), 5, 900, List.of())).isEqualTo(2);
		advance(601_000);
		assertThat(this.entries.get(0).quarantined(DEADLY)).isFalse();
		assertThat(repeat(new Random(1), 5, 900, List.of())).isEqualTo(1);
	}

	// Sends the deadly request through random instances and returns how often it
	// crashed a target. Requests beside it are at the same target, and another target
	// answers them afterwards.
	private int repeat(Random random, int times, int intervalMillis, List<String> beside) {
		int crashes = 0;
		for (int i = 0; i < times; i++) {
			Entry entry = anyEntry(random);
			if (!entry.quarantined(DEADLY)) {
				crashes++;
				entry.suspects.crashed(DEADLY, this.now);
			}
			beside.forEach((digest) -> anyEntry(random).suspects.crashed(digest, this.now));
			advance(intervalMillis / 2);
			beside.forEach((digest) -> this.entries.forEach((other) -> other.suspects.answered(digest, this.now)));
			advance(intervalMillis / 2);
		}
		return crashes;
	}

	private Entry anyEntry(Random random) {
		return this.entries.get(random.nextInt(this.entries.size()));
	}

	private void restart(int instances) {
		this.entries.clear();
		this.deliveries.clear();
		this.leader = new ObservationTable();
		IntStream.range(0, instances).forEach((i) -> this.entries.add(new Entry()));
	}

	// Each 50 ms, the leader receives what entry instances observed, and 100 ms later all
	// of them receive what it published.
	private void advance(long millis) {
		for (long i = 0; i < millis; i += 50) {
			this.now += 50 * MS;
			if (this.electing) {
				continue;
			}
			for (Entry entry : this.entries) {
				entry.observations.drainUnreported(this.now).forEach((observation) -> {
					Observed observed = Observed.of(observation, this.now);
					if (this.leader.record(observed.kind(), observed.subject(), observed.value(),
							observed.observedNanos())) {
						this.deliveries.add(new Delivery(this.now + 100 * MS));
					}
				});
			}
			deliver();
		}
	}

	private void deliver() {
		if (!this.deliveries.isEmpty() && this.deliveries.peek().dueNanos() <= this.now) {
			this.deliveries.clear();
			List<Observation> published = this.leader.published()
				.stream()
				.map((observed) -> observed.toSend(this.now))
				.toList();
			this.entries.forEach((entry) -> entry.observations.received(published, this.now));
		}
	}

	private record Delivery(long dueNanos) {
	}

	/** The state of one entry instance. */
	private final class Entry {

		private final EntryObservations observations = new EntryObservations();

		private final CrashSuspects suspects = new CrashSuspects(this.observations);

		boolean quarantined(String digest) {
			return this.suspects.quarantineLeftMillis(digest, CrashSuspectsTests.this.now).isPresent();
		}

	}

}

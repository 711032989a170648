package org.redwingramp.core.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.ShardId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against keys with two owners and against shards that remain unserved when
 * instances fail or leave, and when failure domains are taken out of service.
 */
class ClusterTests {

	private static final long SECOND = ClusterHarness.SECOND;

	private static final RecordBody.Service SERVICE = Fixtures.keyed(Fixtures.KEYED, 32);

	private static final String[] DOMAINS = { "zona-capital", "zona-mixco", "zona-villanueva" };

	private final ClusterHarness cluster = new ClusterHarness(1);

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.cluster.apply(Fixtures.submit(SERVICE));
		IntStream.range(0, 3).forEach((i) -> this.cluster.addEntry("e" + i, DOMAINS[i]));
		for (int i = 0; i < 6; i++) {
			this.cluster.addTarget(Fixtures.target("t" + i, Fixtures.KEYED, DOMAINS[i % 3], "boot-1"));
		}
		this.cluster.runUntil(3 * SECOND, this::allShardsServed);
	}

	@Test
	void shouldServeAllShardsWithGatesSpreadEvenly() throws InvariantViolatedException {
		this.cluster.run(10 * SECOND);
		assertThat(allShardsServed()).isTrue();
		assertThat(this.cluster.view().entries()).allSatisfy(
				(entry) -> assertThat(this.cluster.view().targetsOfGate(entry.spec().name())).hasSizeBetween(1, 3));
	}

	private TargetState target(String name) {
		return this.cluster.view().target(name).orElseThrow();
	}

	private boolean allShardsServed() {
		return this.cluster.allShardsServed(SERVICE);
	}

	@Test
	void shouldServeAllShardsWithinASecondOfTheLossOfATarget() throws InvariantViolatedException {
		this.cluster.targets.get("t1").freeze();
		this.cluster.runUntil(SECOND, () -> target("t1").phase() == TargetPhase.LOST && allShardsServed());
	}

	@Test
	void shouldMoveGatesButNoShardsAfterTheLossOfAnEntry() throws InvariantViolatedException {
		List<ShardState> before = List.copyOf(this.cluster.view().shards(Fixtures.KEYED));
		this.cluster.entries.get("e1").toggleRunning();
		this.cluster.runUntil(SECOND, () -> this.cluster.view().entry("e1").isEmpty());
		this.cluster.runUntil(SECOND, this::allShardsServed);
		assertThat(List.copyOf(this.cluster.view().shards(Fixtures.KEYED))).isEqualTo(before);
	}

	@Test
	void shouldServeAllShardsAgainWhenAGateAndItsTargetAreLostTogether() throws InvariantViolatedException {
		this.cluster.entries.get(target("t1").gate()).toggleRunning();
		this.cluster.targets.get("t1").freeze();
		this.cluster.runUntil(2 * SECOND, () -> target("t1").phase() == TargetPhase.LOST && allShardsServed());
	}

	@Test
	void shouldServeAllShardsContinuouslyDuringALeaderChange() throws InvariantViolatedException {
		for (int i = 0; i < 60; i++) {
			if (i == 10) {
				this.cluster.electLeader();
			}
			this.cluster.run(50_000_000L);
			assertThat(allShardsServed()).isTrue();
		}
	}

	@Test
	void shouldEvacuateADomainWithinThreeSecondsAndReturnItsShardsGradually() throws InvariantViolatedException {
		this.cluster.apply(Fixtures.domain("zona-mixco", 1, DomainState.OUT));
		this.cluster.runUntil(3 * SECOND, () -> owned("t1") + owned("t4") == 0 && allShardsServed()
				&& this.cluster.view().targetsOfGate("e1").isEmpty());
		this.cluster.apply(Fixtures.domain("zona-mixco", 2, DomainState.IN));
		this.cluster.run(2 * SECOND);
		assertThat(owned("t1") + owned("t4")).isLessThanOrEqualTo(3);
		this.cluster.runUntil(20 * SECOND, () -> owned("t1") >= 4 && owned("t4") >= 4);
	}

	private int owned(String target) {
		return this.cluster.view().shardsOf(target).size();
	}

	@Test
	void shouldMoveAllShardsFromADrainingTargetWithinThreeSeconds() throws InvariantViolatedException {
		this.cluster.apply(new Command.DrainTarget("t2", "boot-1"));
		this.cluster.runUntil(3 * SECOND, () -> owned("t2") == 0 && allShardsServed());
		assertThat(this.cluster.driver.refusalOf(new Command.TargetLeft("t2", "boot-1"))).isNull();
	}

	@Test
	void shouldAssignNoGateToATargetThatIsLostWhileItDrains() throws InvariantViolatedException {
		this.cluster.targets.get("t2").freeze();
		this.cluster.apply(new Command.DrainTarget("t2", "boot-1"));
		this.cluster.runUntil(3 * SECOND, () -> owned("t2") == 0 && allShardsServed() && target("t2").gate().isEmpty());
		this.cluster.targets.get("t2").thaw();
		this.cluster.apply(new Command.AnnounceTarget(this.cluster.targets.get("t2").spec));
		this.cluster.run(2 * SECOND);
		assertThat(target("t2").gate()).isEmpty();
		assertThat(target("t2").phase()).isEqualTo(TargetPhase.DRAINING);
	}

	@Test
	void shouldSplitAHotKeyAndMergeItWhenItsRateDrops() throws InvariantViolatedException {
		ShardId hot = ShardId.hotKey(Fixtures.KEYED, KeyHash.slice("wok-1", 32), "wok-1");
		FakeEntry entry = this.cluster.entries.get("e0");
		entry.hotKeys = List.of(new EntryHeartbeat.HotKey(hot, 500));
		entry.loads = Map.of(hot.toString(), 500.0, ShardId.slice(Fixtures.KEYED, hot.slice()).toString(), 20.0);
		this.cluster.runUntil(5 * SECOND, () -> this.cluster.view().shard(hot).isPresent());
		this.cluster.runUntil(20 * SECOND, () -> owned(this.cluster.view().shard(hot).orElseThrow().owner()) == 1);
		entry.hotKeys = List.of();
		entry.loads = Map.of(hot.toString(), 0.0);
		this.cluster.run(25 * SECOND);
		assertThat(this.cluster.view().shard(hot)).isPresent();
		this.cluster.runUntil(200 * SECOND, () -> this.cluster.view().shard(hot).isEmpty());
	}

	@Test
	void shouldAssignPinnedKeysToTheirTargetWhileItAcceptsShards() throws InvariantViolatedException {
		this.cluster.apply(
				Fixtures.submit(new RecordBody.Pin("p", Fixtures.KEYED, "t5", List.of("wok-1", "wok-2")), "p", 1, "d"));
		this.cluster.runUntil(5 * SECOND, () -> pinnedOwners().equals(Set.of("t5")) && allShardsServed());
		this.cluster.apply(new Command.DrainTarget("t5", "boot-1"));
		this.cluster.runUntil(3 * SECOND, () -> !pinnedOwners().contains("t5") && allShardsServed());
	}

	private Set<String> pinnedOwners() {
		return Stream.of("wok-1", "wok-2")
			.map((key) -> this.cluster.view().shard(SERVICE, key).orElseThrow())
			.filter((shard) -> shard.id().singleKey())
			.map(ShardState::owner)
			.collect(Collectors.toSet());
	}

}

package org.redwingramp.core.control;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests for one key that run on two targets, and against shards that
 * remain unserved after the faults end, under random sequences of faults.
 */
class ClusterFaultTests {

	private static final long SECOND = ClusterHarness.SECOND;

	private static final int SLICES = 16;

	private static final RecordBody.Service SERVICE = Fixtures.keyed(Fixtures.KEYED, SLICES);

	private static final String[] DOMAINS = { "zona-capital", "zona-mixco", "zona-villanueva" };

	// The number of seeds can be raised with -DargLine=-Dredwingramp.seeds=400.
	static LongStream seeds() {
		return LongStream.rangeClosed(1, Long.getLong("redwingramp.seeds", 24));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void shouldKeepOneOwnerAndRecover(long seed) throws InvariantViolatedException {
		ClusterHarness cluster = new ClusterHarness(seed);
		cluster.maxDelaySteps = 6;
		cluster.messageLossRate = 0.01;
		cluster.apply(Fixtures.submit(SERVICE));
		for (int i = 0; i < 3; i++) {
			cluster.addEntry("e" + i, DOMAINS[i]);
		}
		for (int i = 0; i < 6; i++) {
			announceNewIncarnation(cluster, i);
		}
		Random random = new Random(seed);
		for (int fault = 0; fault < 60; fault++) {
			injectFault(cluster, random);
			sendRequests(cluster, random, (long) (random.nextDouble() * 1.5 * SECOND));
		}
		repairAllFaults(cluster);
		sendRequests(cluster, random, 15 * SECOND);
		// Some shards may still be being moved to balance the load.
		cluster.runUntil(2 * SECOND, () -> cluster.allShardsServed(SERVICE));
		assertThat(cluster.entries.values().stream().mapToLong((entry) -> entry.dispatchedRequests).sum()).isPositive();
	}

	private static void announceNewIncarnation(ClusterHarness cluster, int index) throws InvariantViolatedException {
		cluster.addTarget(Fixtures.target("t" + index, Fixtures.KEYED, DOMAINS[index % 3], "boot-" + cluster.now));
	}

	private static void sendRequests(ClusterHarness cluster, Random random, long nanos)
			throws InvariantViolatedException {
		for (long end = cluster.now + nanos; cluster.now < end;) {
			String key = "wok-" + random.nextInt(64);
			long duration = (random.nextInt(20) == 0) ? SECOND : SECOND / 50;
			cluster.entries.values().forEach((entry) -> entry.sendRequest(key, duration));
			cluster.step();
		}
	}

	private static void injectFault(ClusterHarness cluster, Random random) throws InvariantViolatedException {
		FakeEntry entry = cluster.entries.get("e" + random.nextInt(3));
		FakeTarget target = cluster.targets.get("t" + random.nextInt(6));
		TargetSpec spec = target.spec;
		switch (random.nextInt(14)) {
			case 0 -> entry.toggleRunning();
			case 1 -> cluster.addEntry(entry.spec.name(), entry.spec.failureDomain());
			case 2 -> target.freeze();
			case 3 -> thawAndAnnounce(cluster, target);
			case 4 -> announceNewIncarnation(cluster, Integer.parseInt(spec.name().substring(1)));
			case 5 -> cluster.electLeader();
			case 6 -> cluster.toggleLeaderReachable();
			case 7 ->
				setDomainState(cluster, spec.failureDomain(), random.nextBoolean() ? DomainState.OUT : DomainState.IN);
			case 8 -> splitThenMergeOrRelease(cluster, random);
			case 12 -> cluster.apply(new Command.DrainTarget(spec.name(), spec.bootId()));
			case 9, 10, 11 -> entry.toggleConnected();
			default -> entry.leave();
		}
	}

	private static void thawAndAnnounce(ClusterHarness cluster, FakeTarget target) throws InvariantViolatedException {
		target.thaw();
		cluster.apply(new Command.AnnounceTarget(target.spec));
	}

	private static void splitThenMergeOrRelease(ClusterHarness cluster, Random random)
			throws InvariantViolatedException {
		String key = "wok-" + random.nextInt(64);
		ShardId hot = ShardId.hotKey(Fixtures.KEYED, KeyHash.slice(key, SLICES), key);
		cluster.apply(new Command.SplitHotKey(hot));
		ShardState shard = cluster.view().shard(hot).orElseThrow();
		cluster.apply(random.nextBoolean() ? new Command.MergeHotKey(hot)
				: new Command.ReleaseShards(List.of(new Command.FencedShard(hot, shard.fence()))));
	}

	private static void setDomainState(ClusterHarness cluster, String name, DomainState state)
			throws InvariantViolatedException {
		long version = cluster.view()
			.record(RecordKind.DOMAIN, name)
			.map((record) -> record.record().version() + 1)
			.orElse(1L);
		cluster.apply(Fixtures.domain(name, version, state));
	}

	private static void repairAllFaults(ClusterHarness cluster) throws InvariantViolatedException {
		cluster.leaderReachable = true;
		for (String name : DOMAINS) {
			setDomainState(cluster, name, DomainState.IN);
		}
		for (FakeEntry entry : List.copyOf(cluster.entries.values())) {
			if (!entry.connected()) {
				entry.toggleConnected();
			}
			if (!entry.running()) {
				entry.toggleRunning();
			}
			if (entry.leaving) {
				cluster.addEntry(entry.spec.name(), entry.spec.failureDomain());
			}
		}
		for (int i = 0; i < 6; i++) {
			thawAndAnnounce(cluster, cluster.targets.get("t" + i));
			if (cluster.view().target("t" + i).orElseThrow().phase() == TargetPhase.DRAINING) {
				announceNewIncarnation(cluster, i);
			}
		}
	}

}

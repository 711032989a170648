package org.redwingramp.core.control;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.Command.ShardAssignment;
import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a shard with two owners, and against stale commands for targets, gates
 * and shards that change the state.
 */
class OwnershipRulesTests {

	private final StateDriver driver = new StateDriver();

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.driver.setUp(Fixtures.keyed(Fixtures.KEYED, 4), "t1", "t2");
		this.driver.assignSlices("t1", 0, 1, 2, 3);
	}

	@Test
	void shouldMoveAShardOnlyThroughReleaseAndWithAHigherFence() throws InvariantViolatedException {
		long fence = this.driver.slice(0).fence();
		ShardAssignment early = new ShardAssignment(this.driver.slice(0).id(), fence, "t2", "t2-boot-1");
		assertThat(this.driver.refusalOf(new Command.AssignShards(List.of(early)))).isEqualTo(RefusalCode.STALE);
		assertThat(this.driver.refusalOf(new Command.ShardsReleased(List.of(this.driver.fencedSlice(0)))))
			.isEqualTo(RefusalCode.STALE);
		this.driver.releaseSlice(0);
		assertThat(this.driver.slice(0).phase()).isEqualTo(ShardPhase.RELEASING);
		assertThat(this.driver.refusalOf(new Command.AssignShards(List.of(early)))).isEqualTo(RefusalCode.STALE);
		this.driver.confirmRelease(0);
		this.driver.assignSlices("t2", 0);
		assertThat(this.driver.slice(0).owner()).isEqualTo("t2");
		assertThat(this.driver.slice(0).fence()).isGreaterThan(fence);
		assertThat(this.driver.refusalOf(new Command.AssignShards(List.of(early)))).isEqualTo(RefusalCode.STALE);
	}

	@Test
	void shouldReleaseTheShardsOfANewIncarnationAndRaiseItsGateEpoch() throws InvariantViolatedException {
		long epoch = this.driver.target("t1").gateEpoch();
		TargetSpec restarted = Fixtures.target("t1", Fixtures.KEYED, "zona-capital", "t1-boot-2");
		this.driver.apply(new Command.AnnounceTarget(restarted));
		assertThat(this.driver.target("t1").gateEpoch()).isEqualTo(epoch + 1);
		assertThat(this.driver.state.view().shardsOf("t1")).hasSize(4)
			.allSatisfy((shard) -> assertThat(shard.phase()).isEqualTo(ShardPhase.RELEASING));
		assertThat(this.driver.refusalOf(new Command.TargetLost("t1", "t1-boot-1", epoch)))
			.isEqualTo(RefusalCode.STALE);
		assertThat(this.driver.refusalOf(new Command.DrainTarget("t1", "t1-boot-1"))).isEqualTo(RefusalCode.STALE);
	}

	@Test
	void shouldRefuseANameInUseAtAnotherAddressAndUnknownServices() throws InvariantViolatedException {
		TargetSpec elsewhere = new TargetSpec("t1", Fixtures.KEYED, "127.0.0.9:1", "zona-mixco", 3, 110, "x", true);
		assertThat(this.driver.refusalOf(new Command.AnnounceTarget(elsewhere))).isEqualTo(RefusalCode.NAME_TAKEN);
		this.driver.apply(new Command.TargetLost("t1", "t1-boot-1", this.driver.target("t1").gateEpoch()));
		assertThat(this.driver.refusalOf(new Command.AnnounceTarget(elsewhere))).isNull();
		assertThat(this.driver
			.refusalOf(new Command.AnnounceTarget(Fixtures.target("t9", "no-svc", "zona-mixco", "t9-boot-1"))))
			.isEqualTo(RefusalCode.INCONSISTENT);
	}

	@Test
	void shouldMakeTheShardsOfALostTargetUnownedOnceAndRefuseEarlierEpochs() throws InvariantViolatedException {
		long epoch = this.driver.target("t1").gateEpoch();
		this.driver.assignGate("t1", "e2");
		assertThat(this.driver.refusalOf(new Command.TargetLost("t1", "t1-boot-1", epoch)))
			.isEqualTo(RefusalCode.STALE);
		assertThat(this.driver.refusalOf(new Command.TargetLost("t1", "t1-boot-1", epoch + 1))).isNull();
		assertThat(this.driver.slice(0).phase()).isEqualTo(ShardPhase.UNOWNED);
		assertThat(this.driver.target("t1").gate()).isEmpty();
		this.driver.assignSlices("t2", 0);
		assertThat(this.driver.refusalOf(new Command.TargetLost("t1", "t1-boot-1", epoch + 1))).isNull();
		assertThat(this.driver.slice(0).owner()).isEqualTo("t2");
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1")));
		assertThat(this.driver.target("t1").phase()).isEqualTo(TargetPhase.READY);
	}

	@Test
	void shouldKeepATargetDrainingIfItIsLostAndAnnouncedAgain() throws InvariantViolatedException {
		this.driver.apply(new Command.DrainTarget("t1", "t1-boot-1"));
		this.driver.apply(new Command.TargetLost("t1", "t1-boot-1", this.driver.target("t1").gateEpoch()));
		assertThat(this.driver.slice(0).phase()).isEqualTo(ShardPhase.UNOWNED);
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1")));
		assertThat(this.driver.target("t1").phase()).isEqualTo(TargetPhase.DRAINING);
		TargetSpec elsewhere = new TargetSpec("t1", Fixtures.KEYED, "127.0.0.9:1", "zona-mixco", 3, 110, "x", true);
		assertThat(this.driver.refusalOf(new Command.AnnounceTarget(elsewhere))).isNull();
		assertThat(this.driver.target("t1").phase()).isEqualTo(TargetPhase.READY);
	}

	@Test
	void shouldRefuseToRemoveATargetThatOwnsShards() throws InvariantViolatedException {
		this.driver.apply(new Command.DrainTarget("t1", "t1-boot-1"));
		assertThat(this.driver.refusalOf(new Command.TargetLeft("t1", "t1-boot-1")))
			.isEqualTo(RefusalCode.INCONSISTENT);
		for (int slice = 0; slice < 4; slice++) {
			this.driver.releaseSlice(slice);
			this.driver.confirmRelease(slice);
		}
		ShardAssignment back = new ShardAssignment(this.driver.slice(0).id(), this.driver.slice(0).fence(), "t1",
				"t1-boot-1");
		assertThat(this.driver.refusalOf(new Command.AssignShards(List.of(back)))).isEqualTo(RefusalCode.STALE);
		assertThat(this.driver.refusalOf(new Command.TargetLeft("t1", "t1-boot-1"))).isNull();
	}

	@Test
	void shouldClearTheGatesOfAnEntryOnlyWhenItsCurrentIncarnationIsRemoved() throws InvariantViolatedException {
		assertThat(this.driver.refusalOf(new Command.RemoveEntry("e1", "former"))).isEqualTo(RefusalCode.STALE);
		this.driver.apply(new Command.EntryLeaving("e1", "e1-boot-1"));
		long epoch = this.driver.target("t1").gateEpoch();
		assertThat(this.driver
			.refusalOf(new Command.AssignGates(List.of(new Command.GateAssignment("t1", epoch - 1, "e2")))))
			.isEqualTo(RefusalCode.STALE);
		this.driver.apply(new Command.RemoveEntry("e1", "e1-boot-1"));
		assertThat(this.driver.target("t1").gate()).isEmpty();
		assertThat(this.driver.slice(0).owner()).isEqualTo("t1");
	}

	@Test
	void shouldSplitAndMergeAHotKeyWithoutLoweringItsFence() throws InvariantViolatedException {
		ShardId key = ShardId.hotKey(Fixtures.KEYED, KeyHash.slice("wok-4411", 4), "wok-4411");
		assertThat(this.driver
			.refusalOf(new Command.SplitHotKey(ShardId.hotKey(Fixtures.KEYED, (key.slice() + 1) % 4, "wok-4411"))))
			.isEqualTo(RefusalCode.INCONSISTENT);
		this.driver.apply(new Command.SplitHotKey(key));
		assertThat(this.driver.shard(key).owner()).isEqualTo("t1");
		Command.FencedShard fenced = new Command.FencedShard(key, this.driver.shard(key).fence());
		this.driver.applyAll(new Command.ReleaseShards(List.of(fenced)), new Command.ShardsReleased(List.of(fenced)));
		assertThat(this.driver.refusalOf(new Command.MergeHotKey(key))).isEqualTo(RefusalCode.STALE);
		this.driver
			.apply(new Command.AssignShards(List.of(new ShardAssignment(key, fenced.fence(), "t1", "t1-boot-1"))));
		long fence = this.driver.shard(key).fence();
		assertThat(this.driver.refusalOf(new Command.MergeHotKey(key))).isNull();
		this.driver.apply(new Command.SplitHotKey(key));
		assertThat(this.driver.shard(key).fence()).isGreaterThanOrEqualTo(fence);
	}

}

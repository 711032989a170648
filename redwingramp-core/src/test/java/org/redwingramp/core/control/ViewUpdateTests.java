package org.redwingramp.core.control;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a view on an entry instance that differs from the committed state or
 * reverts to an older version.
 */
class ViewUpdateTests {

	private static final long GATE_LEASE_NANOS = ControlTiming.DEFAULT.gateLeaseNanos();

	private final StateDriver driver = new StateDriver();

	private final EntryAgent agent = EntryAgents.create(Fixtures.entry("e1", "zona-capital"), ControlTiming.DEFAULT);

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.driver.setUp(Fixtures.keyed(Fixtures.KEYED, 4), "t1", "t2");
		this.driver.assignSlices("t1", 0, 1);
	}

	private void receive(ViewUpdate update) throws InvariantViolatedException {
		EntryHeartbeat heartbeat = this.agent.nextHeartbeat(GateReports.NONE, 0);
		this.agent.handleHeartbeatReply(
				new EntryHeartbeatReply(heartbeat.sequence(), 1, GATE_LEASE_NANOS, Optional.of(update), List.of()), 1);
	}

	private void synchronize() throws InvariantViolatedException {
		receive(this.driver.state.changesSince(this.agent.view().version()));
		assertEqualViews(this.agent.view(), this.driver.state.view());
	}

	private static void assertEqualViews(ControlView left, ControlView right) {
		assertThat(left.version()).isEqualTo(right.version());
		assertThat(List.copyOf(left.records())).isEqualTo(List.copyOf(right.records()));
		assertThat(List.copyOf(left.entries())).isEqualTo(List.copyOf(right.entries()));
		assertThat(List.copyOf(left.targets(Fixtures.KEYED))).isEqualTo(List.copyOf(right.targets(Fixtures.KEYED)));
		assertThat(List.copyOf(left.shards(Fixtures.KEYED))).isEqualTo(List.copyOf(right.shards(Fixtures.KEYED)));
	}

	@Test
	void shouldCatchUpAfterHundredsOfChangesWithOneUpdate() throws InvariantViolatedException {
		synchronize();
		long before = this.agent.view().version();
		for (int i = 1; i <= 400; i++) {
			this.driver.apply(Fixtures.domain("zona-" + i % 7, i / 7 + 1, DomainState.IN));
			this.driver.releaseSlice(i % 2);
			this.driver.confirmRelease(i % 2);
			this.driver.assignSlices((i % 3 == 0) ? "t1" : "t2", i % 2);
		}
		this.driver.apply(new Command.WithdrawRecord(RecordKind.DOMAIN, "zona-0", 58, "operator"));
		this.driver.apply(new Command.RemoveEntry("e2", "e2-boot-1"));
		ViewUpdate update = this.driver.state.changesSince(before);
		assertThat(update.complete()).isFalse();
		assertThat(update.shards()).hasSize(2);
		assertThat(update.removed()).hasSize(2);
		synchronize();
	}

	@Test
	void shouldSendACompleteViewWhenTheChangesAreNoLongerKept() throws InvariantViolatedException {
		synchronize();
		for (int i = 1; i <= 10_000; i++) {
			this.driver.apply(Fixtures.domain("zona-1", i, DomainState.IN));
		}
		assertThat(this.driver.state.changesSince(this.agent.view().version()).complete()).isTrue();
		synchronize();
	}

	@Test
	void shouldRaiseTheVersionByOneForEachChangeButNotForCommandsWithoutEffect() throws InvariantViolatedException {
		long version = this.driver.state.view().version();
		this.driver.apply(Fixtures.domain("zona-1", 1, DomainState.IN));
		this.driver.apply(Fixtures.domain("zona-1", 1, DomainState.IN));
		this.driver.apply(Fixtures.domain("zona-1", 1, DomainState.OUT));
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1")));
		assertThat(this.driver.state.view().version()).isEqualTo(version + 1);
		ViewUpdate empty = this.driver.state.changesSince(version + 1);
		assertThat(empty.toVersion()).isEqualTo(version + 1);
		assertThat(empty.records()).isEmpty();
	}

	@Test
	void shouldRefuseAnOlderViewAndAnotherCluster() throws InvariantViolatedException {
		ControlState outdated = ControlStates.fromSnapshot(this.driver.state.snapshot());
		this.driver.apply(Fixtures.domain("zona-1", 1, DomainState.OUT));
		synchronize();
		long leaseEnd = this.agent.gateLeaseEnd();
		EntryHeartbeat heartbeat = this.agent.nextHeartbeat(GateReports.NONE, 100);
		this.agent.handleHeartbeatReply(new EntryHeartbeatReply(heartbeat.sequence(), 1, GATE_LEASE_NANOS,
				Optional.of(outdated.changesSince(heartbeat.viewVersion())), List.of()), 101);
		receive(new ViewUpdate("other", 0, 10_000, List.of(), List.of(), List.of(), List.of(), List.of()));
		assertEqualViews(this.agent.view(), this.driver.state.view());
		assertThat(this.agent.gateLeaseEnd()).isEqualTo(leaseEnd);
	}

	@Test
	void shouldProvideARestartedEntryWithAViewNoOlderThanBeforeTheRestart() throws InvariantViolatedException {
		for (int i = 1; i <= 300; i++) {
			this.driver.apply(Fixtures.domain("zona-" + i % 5, i / 5 + 1, DomainState.IN));
		}
		synchronize();
		ControlState replica = ControlStates.fromSnapshot(this.driver.state.snapshot());
		EntryAgent restarted = EntryAgents.create(Fixtures.entry("e1", "zona-capital"), ControlTiming.DEFAULT);
		EntryHeartbeat heartbeat = restarted.nextHeartbeat(GateReports.NONE, 0);
		assertThat(restarted.mayRoute(0)).isFalse();
		restarted.handleHeartbeatReply(new EntryHeartbeatReply(heartbeat.sequence(), 2, GATE_LEASE_NANOS,
				Optional.of(replica.changesSince(heartbeat.viewVersion())), List.of()), 1);
		assertEqualViews(restarted.view(), this.agent.view());
	}

	@Test
	void shouldRejectAnUpdateThatChangesTheOwnerWithoutAHigherFence() throws InvariantViolatedException {
		synchronize();
		ShardState shard = this.driver.slice(0);
		long version = this.agent.view().version();
		ViewUpdate conflicting = new ViewUpdate("cluster-1", version, version + 1, List.of(), List.of(), List.of(),
				List.of(new ShardState(shard.id(), ShardPhase.OWNED, "t2", shard.fence(), version + 1)), List.of());
		assertThatExceptionOfType(InvariantViolatedException.class).isThrownBy(() -> receive(conflicting));
	}

	@Test
	void shouldFindTheShardOfAKeyBeforeAndAfterItsSplit() throws InvariantViolatedException {
		int slice = KeyHash.slice("wok-1", 4);
		ControlView before = this.driver.state.view();
		ShardId key = ShardId.hotKey(Fixtures.KEYED, slice, "wok-1");
		this.driver.apply(new Command.SplitHotKey(key));
		synchronize();
		ControlView view = this.agent.view();
		assertThat(view.shard(view.service(Fixtures.KEYED).orElseThrow(), "wok-1").orElseThrow().id()).isEqualTo(key);
		assertThat(before.shard(view.service(Fixtures.KEYED).orElseThrow(), "wok-1").orElseThrow().id())
			.isEqualTo(ShardId.slice(Fixtures.KEYED, slice));
	}

}

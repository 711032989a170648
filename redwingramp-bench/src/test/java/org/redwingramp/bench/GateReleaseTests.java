package org.redwingramp.bench;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.EntryAgent;
import org.redwingramp.core.control.EntryAgents;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.EntryState;
import org.redwingramp.core.control.GateReports;
import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two owners of a shard because a gate reports the shard as released too
 * early. The soak found this fault.
 */
class GateReleaseTests {

	private static final long MILLIS = 1_000_000;

	private static final ShardId SHARD = ShardId.slice("taller-svc", 0);

	private final EntrySpec entry = new EntrySpec("entry-1", "127.0.0.1:70", "zona-capital", "run-1");

	private final TargetSpec target = new TargetSpec("target-1", "taller-svc", "127.0.0.1:80", "zona-capital", 3, 110,
			"run-1", true);

	private final EntryAgent agent = EntryAgents.create(this.entry, ControlTiming.DEFAULT);

	private long now = 1_000 * MILLIS;

	// The entry doesn't receive the view in which the shard is owned. Its next view shows
	// the shard as releasing, and its next grant names the shard. The last acknowledged
	// grant doesn't name the shard, but the grant in flight does, so the target may serve
	// the shard.
	@Test
	void shouldNotReportAShardAsReleasedWhileAGrantInFlightNamesIt() throws InvariantViolatedException {
		reply(0, new ShardState(SHARD, ShardPhase.UNOWNED, "", 3, 5));
		grantAndReply();
		grantAndReply();
		reply(5, new ShardState(SHARD, ShardPhase.RELEASING, "target-1", 4, 7));
		Grant inFlight = nextGrant();
		boolean named = inFlight.shards().contains(new Command.FencedShard(SHARD, 4));
		this.agent.drained(SHARD, 4);
		assertThat(named && !heartbeat().released().isEmpty()).isFalse();
		grantReply(inFlight);
		grantAndReply();
		assertThat(heartbeat().released()).containsExactly(new Command.FencedShard(SHARD, 4));
	}

	private void reply(long fromVersion, ShardState shard) throws InvariantViolatedException {
		EntryHeartbeat heartbeat = heartbeat();
		RecordBody.Service service = new RecordBody.Service("taller-svc", KeySource.header("Burner"), 1, 3, 110, 2_000,
				3_000, 3_600, 100, true, List.of());
		ViewUpdate update = new ViewUpdate("cluster", fromVersion, shard.viewVersion(),
				List.of(new RecordState(new OperatorRecord(2, "taller-svc", 1, service, "digest", "text"), 1, 1)),
				List.of(new EntryState(this.entry, false, 1)),
				List.of(new TargetState(this.target, TargetPhase.READY, "entry-1", 1, 1)), List.of(shard), List.of());
		long lease = ControlTiming.DEFAULT.gateLeaseNanos();
		this.agent.handleHeartbeatReply(
				new EntryHeartbeatReply(heartbeat.sequence(), 1, lease, Optional.of(update), List.of()), this.now);
	}

	private EntryHeartbeat heartbeat() {
		this.now += MILLIS;
		return this.agent.nextHeartbeat(GateReports.NONE, this.now);
	}

	private void grantAndReply() {
		this.now += MILLIS;
		grantReply(nextGrant());
	}

	private Grant nextGrant() {
		return this.agent.nextGrant("target-1", this.now);
	}

	private void grantReply(Grant grant) {
		this.now += MILLIS;
		this.agent.handleGrantReply("target-1", 1, new GrantReply(this.now / MILLIS, "run-1", 1, 0, grant.number()),
				this.now);
	}

}

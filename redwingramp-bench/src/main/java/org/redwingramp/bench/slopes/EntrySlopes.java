package org.redwingramp.bench.slopes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.EntryAgent;
import org.redwingramp.core.control.EntryAgents;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.GateReports;
import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.ViewUpdate;
import org.redwingramp.core.model.TargetSpec;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

/**
 * What an entry instance needs: its view, its gates. Not thread safe.
 */
public final class EntrySlopes {

	private static final int UPDATE_LIMIT = 1 << 30;

	private static final RecordCodec<ViewUpdate> UPDATES = RecordCodec.of(ViewUpdate.class, UPDATE_LIMIT);

	private long clock = System.nanoTime();

	/**
	 * Measures all slopes of the entry role.
	 * @return the slopes
	 * @throws CodecException if a message is over its limit
	 */
	public List<Slope> all() throws CodecException {
		List<Slope> slopes = new ArrayList<>(views());
		slopes.add(grants());
		return slopes;
	}

	private List<Slope> views() throws CodecException {
		int[] services = { 8, 32, 128 };
		int[] sizes = Arrays.stream(services).map((count) -> count * StandInCluster.SLICES).toArray();
		double[] memory = new double[sizes.length];
		double[] bytes = new double[sizes.length];
		double[] small = new double[sizes.length];
		double[] complete = new double[sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			StandInCluster cluster = StandInCluster.placed(services[i], 10);
			byte[] encoded = UPDATES.encode(cluster.state.changesSince(0));
			bytes[i] = encoded.length / 1024.0;
			memory[i] = Meter.bytes(() -> agent(cluster, decode(encoded))) / 1024.0;
			complete[i] = Meter.micros(2, () -> agent(cluster, decode(encoded))) / 1000;
			EntryAgent agent = agent(cluster, decode(encoded));
			long[] version = { 1 };
			small[i] = Meter.micros(10, () -> {
				long before = cluster.state.view().version();
				cluster.submitService(0, ++version[0]);
				accept(agent, Optional.of(cluster.state.changesSince(before)));
			});
		}
		return List.of(
				Slope.of("entry.memory of the view (with 20 targets per 256 shards)", "shard", "KiB", sizes, memory),
				Slope.of("entry.bytes of a whole view", "shard", "KiB", sizes, bytes),
				Slope.of("entry.time to decode and take a whole view", "shard", "ms", sizes, complete),
				Slope.of("entry.time to take one record change (and to apply it)", "shard", "us", sizes, small));
	}

	private static ViewUpdate decode(byte[] encoded) {
		try {
			return UPDATES.decode(encoded);
		}
		catch (CodecException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private EntryAgent agent(StandInCluster cluster, ViewUpdate update) {
		EntryAgent agent = EntryAgents.create(cluster.entry(0), ControlTiming.DEFAULT);
		accept(agent, Optional.of(update));
		return agent;
	}

	private void accept(EntryAgent agent, Optional<ViewUpdate> update) {
		try {
			EntryHeartbeat heartbeat = agent.nextHeartbeat(GateReports.NONE, this.clock);
			agent.handleHeartbeatReply(new EntryHeartbeatReply(heartbeat.sequence(), 1,
					ControlTiming.DEFAULT.gateLeaseNanos(), update, List.of()), this.clock);
		}
		catch (InvariantViolatedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// One round is what an entry does every 100 ms: a grant to each target and its reply.
	private Slope grants() {
		int[] services = { 1, 4, 16 };
		int[] sizes = Arrays.stream(services).map((count) -> count * 20).toArray();
		double[] round = new double[sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			StandInCluster cluster = StandInCluster.placed(services[i], 1);
			EntryAgent agent = agent(cluster, cluster.state.changesSince(0));
			round[i] = Meter.micros(50, () -> renew(cluster, agent));
		}
		return Slope.of("entry.round of grants and a heartbeat", "gated target", "us", sizes, round);
	}

	private void renew(StandInCluster cluster, EntryAgent agent) {
		this.clock += 100_000_000L;
		accept(agent, Optional.empty());
		for (TargetSpec target : cluster.targets()) {
			Grant grant = agent.nextGrant(target.name(), this.clock);
			agent.handleGrantReply(target.name(), grant.epoch(),
					new GrantReply(this.clock / 1_000_000, target.bootId(), grant.epoch(), 0, grant.number()),
					this.clock + 1_000_000);
		}
	}

}

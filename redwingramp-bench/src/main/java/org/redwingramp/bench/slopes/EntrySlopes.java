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
 * Measures the memory, time and bytes that an entry instance needs for its view and for
 * the grants of its targets. Not thread safe.
 */
public final class EntrySlopes {

	private static final int UPDATE_LIMIT_BYTES = 1 << 30;

	private static final RecordCodec<ViewUpdate> UPDATES = RecordCodec.of(ViewUpdate.class, UPDATE_LIMIT_BYTES);

	private long clockNanos = System.nanoTime();

	/**
	 * Measures all slopes of an entry instance.
	 * @return the slopes
	 * @throws CodecException if a message exceeds its size limit
	 */
	public List<Slope> all() throws CodecException {
		List<Slope> slopes = new ArrayList<>(views());
		slopes.add(grants());
		return slopes;
	}

	private List<Slope> views() throws CodecException {
		int[] services = { 8, 32, 128 };
		int[] sizes = Arrays.stream(services).map((count) -> count * SyntheticCluster.SLICES).toArray();
		double[] memory = new double[sizes.length];
		double[] bytes = new double[sizes.length];
		double[] recordChange = new double[sizes.length];
		double[] complete = new double[sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			SyntheticCluster cluster = SyntheticCluster.withAssignedShards(services[i], 10);
			byte[] encoded = UPDATES.encode(cluster.state.changesSince(0));
			bytes[i] = encoded.length / 1024.0;
			memory[i] = Meter.retainedBytes(() -> agent(cluster, decode(encoded))) / 1024.0;
			complete[i] = Meter.medianMicros(2, () -> agent(cluster, decode(encoded))) / 1000;
			EntryAgent agent = agent(cluster, decode(encoded));
			long[] version = { 1 };
			recordChange[i] = Meter.medianMicros(10, () -> {
				long before = cluster.state.view().version();
				cluster.submitService(0, ++version[0]);
				applyReply(agent, Optional.of(cluster.state.changesSince(before)));
			});
		}
		return List.of(
				Slope.of("entry.memory of the view (with 20 targets per 256 shards)", "shard", "KiB", sizes, memory),
				Slope.of("entry.bytes of a whole view", "shard", "KiB", sizes, bytes),
				Slope.of("entry.time to decode and take a whole view", "shard", "ms", sizes, complete),
				Slope.of("entry.time to take one record change (and to apply it)", "shard", "us", sizes, recordChange));
	}

	private static ViewUpdate decode(byte[] encoded) {
		try {
			return UPDATES.decode(encoded);
		}
		catch (CodecException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private EntryAgent agent(SyntheticCluster cluster, ViewUpdate update) {
		EntryAgent agent = EntryAgents.create(cluster.entry(0), ControlTiming.DEFAULT);
		applyReply(agent, Optional.of(update));
		return agent;
	}

	private void applyReply(EntryAgent agent, Optional<ViewUpdate> update) {
		try {
			EntryHeartbeat heartbeat = agent.nextHeartbeat(GateReports.NONE, this.clockNanos);
			agent.handleHeartbeatReply(new EntryHeartbeatReply(heartbeat.sequence(), 1,
					ControlTiming.DEFAULT.gateLeaseNanos(), update, List.of()), this.clockNanos);
		}
		catch (InvariantViolatedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// One round is the work of an entry instance every 100 ms: a heartbeat, and for each
	// target a grant and its reply.
	private Slope grants() {
		int[] services = { 1, 4, 16 };
		int[] sizes = Arrays.stream(services).map((count) -> count * 20).toArray();
		double[] roundMicros = new double[sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			SyntheticCluster cluster = SyntheticCluster.withAssignedShards(services[i], 1);
			EntryAgent agent = agent(cluster, cluster.state.changesSince(0));
			roundMicros[i] = Meter.medianMicros(50, () -> renewGrants(cluster, agent));
		}
		return Slope.of("entry.round of grants and a heartbeat", "gated target", "us", sizes, roundMicros);
	}

	private void renewGrants(SyntheticCluster cluster, EntryAgent agent) {
		this.clockNanos += 100_000_000L;
		applyReply(agent, Optional.empty());
		for (TargetSpec target : cluster.targets()) {
			Grant grant = agent.nextGrant(target.name(), this.clockNanos);
			agent.handleGrantReply(target.name(), grant.epoch(),
					new GrantReply(this.clockNanos / 1_000_000, target.bootId(), grant.epoch(), 0, grant.number()),
					this.clockNanos + 1_000_000);
		}
	}

}

package org.redwingramp.bench.slopes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.Controller;
import org.redwingramp.core.control.Controllers;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.placement.PlacementPolicies;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

/**
 * Measures the memory, time and bytes that a control replica needs for its state,
 * commands, snapshots and heartbeats. Not thread safe.
 */
public final class ControlSlopes {

	private static final int SNAPSHOT_LIMIT_BYTES = 1 << 30;

	private static final RecordCodec<ControlSnapshot> SNAPSHOTS = RecordCodec.of(ControlSnapshot.class,
			SNAPSHOT_LIMIT_BYTES);

	private static final RecordCodec<EntryHeartbeat> HEARTBEATS = RecordCodec.of(EntryHeartbeat.class);

	private static final RecordCodec<EntryHeartbeatReply> REPLIES = RecordCodec.of(EntryHeartbeatReply.class);

	private static final int LEDGER_REPETITIONS = 2000;

	private long clockNanos = System.nanoTime();

	private long nextRequest;

	/**
	 * Measures all slopes of a control replica.
	 * @return the slopes
	 * @throws CodecException if a message exceeds its size limit
	 */
	public List<Slope> all() throws CodecException {
		List<Slope> slopes = new ArrayList<>();
		slopes.addAll(shards());
		slopes.addAll(targets());
		slopes.addAll(ledger());
		slopes.addAll(heartbeats());
		slopes.addAll(viewChanges());
		return slopes;
	}

	private List<Slope> shards() throws CodecException {
		int[] services = { 8, 32, 128 };
		int[] sizes = Arrays.stream(services).map((count) -> count * SyntheticCluster.SLICES).toArray();
		double[] memory = new double[sizes.length];
		double[] apply = new double[sizes.length];
		double[] snapshot = new double[sizes.length];
		double[] snapshotTime = new double[sizes.length];
		double[] tick = new double[sizes.length];
		SyntheticCluster.withAssignedShards(8, 10);
		for (int i = 0; i < sizes.length; i++) {
			int count = services[i];
			memory[i] = Meter.retainedBytes(() -> SyntheticCluster.withAssignedShards(count, 10)) / 1024.0;
			SyntheticCluster cluster = SyntheticCluster.withAssignedShards(count, 10);
			long[] version = { 1 };
			apply[i] = Meter.medianMicros(20, () -> cluster.submitService(0, ++version[0]));
			snapshot[i] = SNAPSHOTS.encode(cluster.state.snapshot()).length / 1024.0;
			snapshotTime[i] = Meter.medianMicros(2, () -> encode(cluster)) / 1000;
			tick[i] = tickMicros(cluster, 10);
		}
		return List.of(Slope.of("control.memory (with 20 targets per 256 shards)", "shard", "KiB", sizes, memory),
				Slope.of("control.apply of one record change", "shard", "us", sizes, apply),
				Slope.of("control.snapshot bytes", "shard", "KiB", sizes, snapshot),
				Slope.of("control.snapshot time", "shard", "ms", sizes, snapshotTime),
				Slope.of("control.tick time of the controller", "shard", "us", sizes, tick));
	}

	private static void encode(SyntheticCluster cluster) {
		try {
			SNAPSHOTS.encode(cluster.state.snapshot());
		}
		catch (CodecException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private double tickMicros(SyntheticCluster cluster, int entries) {
		Controller controller = controller(cluster, entries);
		return Meter.medianMicros(5, () -> tick(controller));
	}

	private void tick(Controller controller) {
		this.clockNanos += 10_000_000L;
		controller.tick(this.clockNanos);
	}

	private Controller controller(SyntheticCluster cluster, int entries) {
		Controller controller = Controllers.create(cluster.state, PlacementPolicies.balanced(), ControlTiming.DEFAULT,
				this.clockNanos, 1);
		IntStream.range(0, entries)
			.forEach((i) -> controller.handleHeartbeat(heartbeat(cluster, i, cluster.state.view().version(), Map.of()),
					this.clockNanos));
		return controller;
	}

	private List<Slope> targets() {
		int[] sizes = { 250, 500, 1000 };
		double[] memory = new double[sizes.length];
		double[] announce = new double[sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			int count = sizes[i];
			memory[i] = Meter.retainedBytes(() -> withTargets(count)) / 1024.0;
			SyntheticCluster cluster = withTargets(count);
			announce[i] = Meter.medianMicros(10, () -> cluster.addTarget(0));
		}
		return List.of(Slope.of("control.memory", "target", "KiB", sizes, memory),
				Slope.of("control.apply of one announcement", "target", "us", sizes, announce));
	}

	private static SyntheticCluster withTargets(int count) {
		SyntheticCluster cluster = new SyntheticCluster();
		cluster.addServices(1);
		IntStream.range(0, count).forEach((i) -> cluster.addTarget(0));
		return cluster;
	}

	private List<Slope> ledger() throws CodecException {
		int[] sizes = { 20_000, 80_000, 240_000 };
		double[] memory = new double[sizes.length];
		double[] apply = new double[sizes.length];
		double[] snapshot = new double[sizes.length];
		double[] snapshotTime = new double[sizes.length];
		double[] captureTime = new double[sizes.length];
		withLedger(20_000);
		for (int i = 0; i < sizes.length; i++) {
			int count = sizes[i];
			memory[i] = Meter.retainedBytes(() -> withLedger(count)) / 1024.0;
			SyntheticCluster cluster = withLedger(count);
			snapshot[i] = SNAPSHOTS.encode(cluster.state.snapshot()).length / 1024.0;
			snapshotTime[i] = Meter.medianMicros(1, () -> encode(cluster)) / 1000;
			captureTime[i] = Meter.medianMicros(1, cluster.state::snapshot) / 1000;
			this.nextRequest = count;
			apply[i] = Meter.medianMicros(LEDGER_REPETITIONS, () -> cluster.beginAndFinish(this.nextRequest++));
		}
		return List.of(Slope.of("ledger.memory (answer of 200 bytes)", "record", "KiB", sizes, memory),
				Slope.of("ledger.apply of begin and finish", "record", "us", sizes, apply),
				Slope.of("ledger.snapshot bytes", "record", "KiB", sizes, snapshot),
				Slope.of("ledger.image taken by the control thread", "record", "ms", sizes, captureTime),
				Slope.of("ledger.snapshot time", "record", "ms", sizes, snapshotTime));
	}

	private static SyntheticCluster withLedger(int records) {
		SyntheticCluster cluster = SyntheticCluster.withAssignedShards(1, 10);
		IntStream.range(0, records).forEach(cluster::beginAndFinish);
		return cluster;
	}

	private List<Slope> heartbeats() throws CodecException {
		int[] sizes = { 100, 400, 1600 };
		double[] handle = new double[sizes.length];
		double[] codec = new double[sizes.length];
		double[] tick = new double[sizes.length];
		double[] memory = new double[sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			int entries = sizes[i];
			SyntheticCluster cluster = SyntheticCluster.withAssignedShards(2, entries);
			memory[i] = Meter.retainedBytes(() -> controller(cluster, entries)) / 1024.0;
			Controller controller = controller(cluster, entries);
			long version = cluster.state.view().version();
			int[] next = { 0 };
			handle[i] = Meter.medianMicros(4 * entries, () -> controller
				.handleHeartbeat(heartbeat(cluster, next[0]++ % entries, version, Map.of()), this.clockNanos));
			byte[] encoded = HEARTBEATS.encode(heartbeat(cluster, 0, version, Map.of()));
			EntryHeartbeatReply reply = controller.handleHeartbeat(heartbeat(cluster, 0, version, Map.of()),
					this.clockNanos);
			codec[i] = Meter.medianMicros(4000, () -> decodeAndEncode(encoded, reply));
			tick[i] = tickMicros(cluster, entries);
		}
		return List.of(Slope.of("heartbeat.handling without view change", "entry", "us", sizes, handle),
				Slope.of("heartbeat.decoding and encoding of the reply", "entry", "us", sizes, codec),
				Slope.of("control.tick time of the controller", "entry", "us", sizes, tick),
				Slope.of("control.memory of sessions", "entry", "KiB", sizes, memory), loadBytes());
	}

	private static void decodeAndEncode(byte[] heartbeat, EntryHeartbeatReply reply) {
		try {
			HEARTBEATS.decode(heartbeat);
			REPLIES.encode(reply);
		}
		catch (CodecException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private Slope loadBytes() throws CodecException {
		int[] sizes = { 0, 64, 256 };
		SyntheticCluster cluster = SyntheticCluster.withAssignedShards(1, 1);
		double[] bytes = new double[sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			Map<String, Double> loads = new HashMap<>();
			IntStream.range(0, sizes[i])
				.forEach((slice) -> loads.put(ShardId.slice(SyntheticCluster.service(0), slice).toString(),
						1.5 + slice));
			bytes[i] = HEARTBEATS.encode(heartbeat(cluster, 0, 1, loads)).length;
		}
		return Slope.of("heartbeat.bytes of the request", "reported shard", "B", sizes, bytes);
	}

	private List<Slope> viewChanges() throws CodecException {
		int[] sizes = { 1, 8, 32 };
		SyntheticCluster cluster = SyntheticCluster.withAssignedShards(32, 10);
		double[] bytes = new double[sizes.length];
		double[] handle = new double[sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			long before = cluster.state.view().version();
			IntStream.range(0, sizes[i])
				.forEach((service) -> cluster.submitService(service, nextVersion(cluster, service)));
			Controller controller = controller(cluster, 10);
			EntryHeartbeat behind = heartbeat(cluster, 0, before, Map.of());
			bytes[i] = REPLIES.encode(controller.handleHeartbeat(behind, this.clockNanos)).length;
			handle[i] = Meter.medianMicros(400, () -> reply(controller, behind));
		}
		return List.of(Slope.of("view.bytes of the reply", "changed record", "B", sizes, bytes),
				Slope.of("view.time to answer and encode", "changed record", "us", sizes, handle));
	}

	private static long nextVersion(SyntheticCluster cluster, int service) {
		return cluster.state.view()
			.record(RecordKind.SERVICE, SyntheticCluster.service(service))
			.orElseThrow()
			.record()
			.version() + 1;
	}

	private void reply(Controller controller, EntryHeartbeat heartbeat) {
		try {
			REPLIES.encode(controller.handleHeartbeat(heartbeat, this.clockNanos));
		}
		catch (CodecException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static EntryHeartbeat heartbeat(SyntheticCluster cluster, int entry, long version,
			Map<String, Double> loads) {
		return new EntryHeartbeat(cluster.entry(entry), 1, "slopes", version, false, List.of(), List.of(), List.of(),
				loads, List.of(), Map.of());
	}

}

package org.redwingramp.bench.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.stream.IntStream;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.ControlStates;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.control.StoredAnswer;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.RouteRule;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

/**
 * A control state with services, entry instances and targets that is built by the same
 * commands as in a deployment. Not thread safe.
 */
final class SyntheticCluster {

	static final int SLICES = 256;

	private static final int TARGETS_PER_SERVICE = 20;

	private static final long CLOCK_MILLIS = 1_800_000_000_000L;

	private static final byte[] ANSWER = new byte[200];

	final ControlState state = ControlStates.create("slopes");

	private long lastIndex;

	private final List<TargetSpec> targets = new ArrayList<>();

	private final List<EntrySpec> entries = new ArrayList<>();

	CommandResult apply(Command command) {
		try {
			CommandResult result = this.state.apply(++this.lastIndex, CLOCK_MILLIS, command);
			if (result instanceof CommandResult.Refused refused) {
				throw new IllegalStateException(command + " was refused: " + refused.detail());
			}
			return result;
		}
		catch (InvariantViolatedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	EntrySpec entry(int number) {
		return this.entries.get(number);
	}

	List<TargetSpec> targets() {
		return this.targets;
	}

	static String service(int number) {
		return "service-" + number;
	}

	void addServices(int services) {
		IntStream.range(0, services).forEach((number) -> submitService(number, 1));
	}

	void submitService(int number, long version) {
		RouteRule lookups = new RouteRule(List.of("GET"), "/", RequestClass.IDEMPOTENT, 0);
		RouteRule bookings = new RouteRule(List.of("POST"), "/", RequestClass.AT_MOST_ONCE, 0);
		RecordBody.Service body = new RecordBody.Service(service(number), KeySource.header("Stand-Key"), SLICES, 6, 60,
				1000 + version, 5000, 86_400, 64, true, List.of(lookups, bookings));
		String digest = String.format("%064x", number * 1_000_000L + version);
		apply(new Command.SubmitRecord(new OperatorRecord(2, body.name(), version, body, digest, "x".repeat(400)),
				"operator"));
	}

	void addEntries(int count) {
		for (int i = 0; i < count; i++) {
			int number = this.entries.size();
			EntrySpec spec = new EntrySpec("entry-" + number, "10.0." + number / 250 + "." + number % 250 + ":7000",
					"domain-" + number % 3, new UUID(1, number).toString());
			this.entries.add(spec);
			apply(new Command.RegisterEntry(spec));
		}
	}

	void addTarget(int service) {
		int number = this.targets.size();
		TargetSpec spec = new TargetSpec("target-" + number, service(service),
				"10.1." + number / 250 + "." + number % 250 + ":8080", "domain-" + number % 3, 6, 60,
				new UUID(2, number).toString(), true);
		this.targets.add(spec);
		apply(new Command.AnnounceTarget(spec));
	}

	void addTargets(int services) {
		IntStream.range(0, services * TARGETS_PER_SERVICE).forEach((i) -> addTarget(i / TARGETS_PER_SERVICE));
	}

	void assignGates() {
		List<Command.GateAssignment> gates = IntStream.range(0, this.targets.size())
			.mapToObj((i) -> new Command.GateAssignment(this.targets.get(i).name(),
					this.state.view().target(this.targets.get(i).name()).orElseThrow().gateEpoch(),
					entry(i % this.entries.size()).name()))
			.toList();
		apply(new Command.AssignGates(gates));
	}

	void assignShards(int service) {
		List<Command.ShardAssignment> shards = IntStream.range(0, SLICES)
			.mapToObj((slice) -> assignment(ShardId.slice(service(service), slice),
					this.targets.get(service * TARGETS_PER_SERVICE + slice % TARGETS_PER_SERVICE)))
			.toList();
		apply(new Command.AssignShards(shards));
	}

	private Command.ShardAssignment assignment(ShardId shard, TargetSpec target) {
		return new Command.ShardAssignment(shard, this.state.view().shard(shard).orElseThrow().fence(), target.name(),
				target.bootId());
	}

	// Creates a cluster in which all gates and shards are assigned.
	static SyntheticCluster withAssignedShards(int services, int entries) {
		SyntheticCluster cluster = new SyntheticCluster();
		cluster.addServices(services);
		cluster.addEntries(entries);
		cluster.addTargets(services);
		cluster.assignGates();
		IntStream.range(0, services).forEach(cluster::assignShards);
		return cluster;
	}

	RequestIdentity request(long number) {
		return new RequestIdentity(service(0), new UUID(3, number).toString(), CLOCK_MILLIS + number % 1000);
	}

	void beginAndFinish(long number) {
		TargetSpec target = this.targets.get(0);
		ShardId shard = ShardId.slice(service(0), 0);
		long epoch = this.state.view().target(target.name()).orElseThrow().gateEpoch();
		long fence = this.state.view().shard(shard).orElseThrow().fence();
		RequestIdentity request = request(number);
		CommandResult begun = apply(new Command.BeginRequest(request, String.format("%064x", number), target.name(),
				entry(0).name(), epoch, shard, fence, 1000));
		apply(new Command.FinishRequest(request, ((CommandResult.Begun) begun).attempt(),
				StoredAnswer.of(200, "application/json", ANSWER.clone())));
	}

}

package org.redwingramp.core.control;

import java.util.List;
import java.util.stream.IntStream;

import org.redwingramp.core.control.Command.FencedShard;
import org.redwingramp.core.control.Command.GateAssignment;
import org.redwingramp.core.control.Command.ShardAssignment;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.ShardId;

/**
 * Applies commands to a control state at consecutive log indexes. Not thread safe.
 */
final class StateDriver {

	static final long START_MILLIS = 1_700_000_000_000L;

	final ControlState state = ControlStates.create("cluster-1");

	long index;

	long clockMillis = START_MILLIS;

	CommandResult apply(Command command) throws InvariantViolatedException {
		this.index++;
		return this.state.apply(this.index, this.clockMillis, command);
	}

	void applyAll(Command... commands) throws InvariantViolatedException {
		for (Command command : commands) {
			apply(command);
		}
	}

	/**
	 * Applies a command.
	 * @param command the command
	 * @return the reason for which the command was refused, {@code null} if it was not
	 * @throws InvariantViolatedException if the command would break an invariant
	 */
	RefusalCode refusalOf(Command command) throws InvariantViolatedException {
		return (apply(command) instanceof CommandResult.Refused refused) ? refused.code() : null;
	}

	void setUp(RecordBody.Service service, String... targets) throws InvariantViolatedException {
		applyAll(Fixtures.submit(service), new Command.RegisterEntry(Fixtures.entry("e1", "zona-capital")),
				new Command.RegisterEntry(Fixtures.entry("e2", "zona-mixco")));
		for (String target : targets) {
			apply(new Command.AnnounceTarget(
					Fixtures.target(target, service.name(), "zona-capital", target + "-boot-1")));
			assignGate(target, "e1");
		}
	}

	TargetState target(String name) {
		return this.state.view().target(name).orElseThrow();
	}

	ShardState slice(int slice) {
		return shard(ShardId.slice(Fixtures.KEYED, slice));
	}

	ShardState shard(ShardId id) {
		return this.state.view().shard(id).orElseThrow();
	}

	void assignGate(String target, String entry) throws InvariantViolatedException {
		apply(new Command.AssignGates(List.of(new GateAssignment(target, target(target).gateEpoch(), entry))));
	}

	void assignSlices(String target, int... slices) throws InvariantViolatedException {
		apply(new Command.AssignShards(IntStream.of(slices)
			.mapToObj((slice) -> new ShardAssignment(slice(slice).id(), slice(slice).fence(), target,
					target(target).spec().bootId()))
			.toList()));
	}

	FencedShard fencedSlice(int slice) {
		return new FencedShard(slice(slice).id(), slice(slice).fence());
	}

	void releaseSlice(int slice) throws InvariantViolatedException {
		apply(new Command.ReleaseShards(List.of(fencedSlice(slice))));
	}

	void confirmRelease(int slice) throws InvariantViolatedException {
		apply(new Command.ShardsReleased(List.of(fencedSlice(slice))));
	}

}

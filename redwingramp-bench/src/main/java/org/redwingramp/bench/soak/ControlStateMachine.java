package org.redwingramp.bench.soak;

import java.util.Optional;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.ControlStates;
import org.redwingramp.core.control.InvariantViolatedException;

/**
 * The control state as a replicated state machine. Not thread safe.
 */
final class ControlStateMachine implements StateMachine {

	/** Larger than one chunk of a snapshot transfer, so that a transfer has several. */
	private static final int SNAPSHOT_PADDING_BYTES = 300 * 1024;

	private final ObjectTable table;

	private Optional<ControlState> state = Optional.empty();

	private long digest = 17;

	ControlStateMachine(ObjectTable table) {
		this.table = table;
	}

	Optional<ControlState> state() {
		return this.state;
	}

	@Override
	public Object apply(LogEntry entry) throws InvariantViolatedException {
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP && this.state.isEmpty()) {
			this.state = Optional.of(ControlStates.create(Membership.decode(entry.payload()).clusterId()));
		}
		if (entry.kind() != LogEntry.Kind.COMMAND) {
			return entry.kind();
		}
		Command command = (Command) this.table.decode(entry.payload());
		CommandResult result = this.state.orElseThrow().apply(entry.index(), entry.clockMillis(), command);
		this.digest = this.digest * 1_000_003 + describe(result).hashCode();
		return result;
	}

	@Override
	public byte[] snapshot() {
		return this.table.encode(new EncodedState(this.state.orElseThrow().snapshot(), this.digest),
				SNAPSHOT_PADDING_BYTES);
	}

	@Override
	public void restore(byte[] encoded) {
		EncodedState saved = (EncodedState) this.table.decode(encoded);
		this.state = Optional.of(ControlStates.fromSnapshot(saved.snapshot()));
		this.digest = saved.digest();
	}

	@Override
	public long digest() {
		return this.digest;
	}

	// Leaves out the stored answer, whose byte array has no stable string form.
	private static String describe(CommandResult result) {
		return (result instanceof CommandResult.Begun begun) ? begun.status() + " " + begun.attempt()
				: result.toString();
	}

	private record EncodedState(ControlSnapshot snapshot, long digest) {
	}

}

package org.redwingramp.daemon.internal.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PendingProposals;
import org.redwingramp.core.consensus.ProposalResult;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.ControlStates;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

/**
 * Applies committed log entries to the control state and completes the proposals that are
 * pending for them. Not thread safe except {@link #encodeSnapshot}; owned by the control
 * loop.
 *
 * <p>
 * Invariant: a pending proposal that was appended to the log is completed either with the
 * result of exactly that log entry or as undecided.
 */
final class StateMachine {

	private final RecordCodec<Command> commandCodec;

	private final RecordCodec<ControlSnapshot> snapshotCodec;

	private final PendingProposals<CompletableFuture<ControlReply>> proposals = new PendingProposals<>();

	private ControlState state = ControlStates.create("");

	private long appliedIndex;

	StateMachine(RecordCodec<Command> commandCodec, RecordCodec<ControlSnapshot> snapshotCodec) {
		this.commandCodec = commandCodec;
		this.snapshotCodec = snapshotCodec;
	}

	ControlState state() {
		return this.state;
	}

	long appliedIndex() {
		return this.appliedIndex;
	}

	long registerProposal(CompletableFuture<ControlReply> reply) {
		return this.proposals.add(reply);
	}

	void handleProposalResult(ProposalResult result) {
		this.proposals.resolved(result).ifPresent((reply) -> reply.complete(reply(result.status())));
	}

	private static ControlReply reply(ProposalResult.Status status) {
		return switch (status) {
			case NOT_LEADER -> new ControlReply.NotLeader("");
			case OVERLOADED -> new ControlReply.Overloaded();
			case APPENDED, LOST_LEADERSHIP -> new ControlReply.Undecided();
		};
	}

	/**
	 * Completes all pending proposals as undecided, since the next leader may still
	 * commit them.
	 */
	void abandonPendingProposals() {
		this.proposals.abandonAll().forEach((reply) -> reply.complete(new ControlReply.Undecided()));
	}

	Optional<CommandResult> apply(LogEntry entry) throws InvariantViolatedException, CodecException {
		this.appliedIndex = entry.index();
		if (entry.kind() != LogEntry.Kind.COMMAND) {
			return Optional.empty();
		}
		Command command = this.commandCodec.decode(entry.payload());
		CommandResult result = this.state.apply(entry.index(), entry.clockMillis(), command);
		this.proposals.committed(entry).ifPresent((reply) -> reply.complete(new ControlReply.Committed(result)));
		return Optional.of(result);
	}

	void installSnapshot(Snapshot snapshot) throws CodecException {
		this.state = ControlStates.fromSnapshot(this.snapshotCodec.decode(snapshot.state()));
		this.appliedIndex = snapshot.index();
	}

	// Sets the cluster identifier in the still empty state once the control group has
	// formed.
	void initializeCluster(String clusterId) {
		if (this.appliedIndex <= 1 && this.state.view().clusterId().isEmpty()) {
			this.state = ControlStates.create(clusterId);
		}
	}

	// Safe to call from any thread, since the snapshot shares no data with the state.
	byte[] encodeSnapshot(ControlSnapshot snapshot) throws CodecException {
		return this.snapshotCodec.encode(snapshot);
	}

}

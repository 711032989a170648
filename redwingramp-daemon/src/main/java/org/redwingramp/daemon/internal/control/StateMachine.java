package org.redwingramp.daemon.internal.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.redwingramp.core.consensus.LogEntry;
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
 * Applies committed entries to the control state and answers the proposals that wait for
 * them. Not thread safe; the control loop owns it.
 *
 * <p>
 * Invariant: a waiting proposal is answered with the result of exactly the entry that it
 * was appended as, or as undecided.
 */
final class StateMachine {

	private final RecordCodec<Command> commands;

	private final RecordCodec<ControlSnapshot> snapshots;

	private final Map<Long, CompletableFuture<ControlReply>> proposals = new HashMap<>();

	private final Map<Long, CompletableFuture<ControlReply>> waiting = new HashMap<>();

	private ControlState state = ControlStates.create("");

	private long appliedIndex;

	private long nextProposal = 1;

	StateMachine(RecordCodec<Command> commands, RecordCodec<ControlSnapshot> snapshots) {
		this.commands = commands;
		this.snapshots = snapshots;
	}

	ControlState state() {
		return this.state;
	}

	long appliedIndex() {
		return this.appliedIndex;
	}

	long register(CompletableFuture<ControlReply> reply) {
		long id = this.nextProposal++;
		this.proposals.put(id, reply);
		return id;
	}

	void resolve(ProposalResult result) {
		CompletableFuture<ControlReply> reply = this.proposals.remove(result.proposalId());
		if (reply == null) {
			return;
		}
		switch (result.status()) {
			case APPENDED -> this.waiting.put(result.index(), reply);
			case NOT_LEADER -> reply.complete(new ControlReply.NotLeader(""));
			case OVERLOADED -> reply.complete(new ControlReply.Overloaded());
			case LOST_LEADERSHIP -> reply.complete(new ControlReply.Undecided());
		}
	}

	/**
	 * Answers all waiting proposals as undecided, since another leader may commit them.
	 */
	void abandonWaiting() {
		this.waiting.values().forEach((reply) -> reply.complete(new ControlReply.Undecided()));
		this.waiting.clear();
		this.proposals.values().forEach((reply) -> reply.complete(new ControlReply.Undecided()));
		this.proposals.clear();
	}

	Optional<CommandResult> apply(LogEntry entry) throws InvariantViolatedException, CodecException {
		this.appliedIndex = entry.index();
		if (entry.kind() != LogEntry.Kind.COMMAND) {
			return Optional.empty();
		}
		Command command = this.commands.decode(entry.payload());
		CommandResult result = this.state.apply(entry.index(), entry.clockMillis(), command);
		CompletableFuture<ControlReply> reply = this.waiting.remove(entry.index());
		if (reply != null) {
			reply.complete(new ControlReply.Committed(result));
		}
		return Optional.of(result);
	}

	void install(Snapshot snapshot) throws CodecException {
		this.state = ControlStates.fromSnapshot(this.snapshots.decode(snapshot.state()));
		this.appliedIndex = snapshot.index();
	}

	// Sets the identifier of the group once it has formed.
	void formed(String clusterId) {
		if (this.appliedIndex <= 1 && this.state.view().clusterId().isEmpty()) {
			this.state = ControlStates.create(clusterId);
		}
	}

	// Thread safe, since the snapshot shares nothing with the state.
	byte[] encode(ControlSnapshot snapshot) throws CodecException {
		return this.snapshots.encode(snapshot);
	}

}

package org.redwingramp.daemon.internal.control;

import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.ProposalResult;
import org.redwingramp.core.consensus.ProposalResult.Status;
import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.wire.RecordCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a proposal that is completed with the result of another log entry.
 */
class StateMachineTests {

	private final RecordCodec<Command> codec = RecordCodec.of(Command.class);

	private final StateMachine stateMachine = new StateMachine(this.codec, RecordCodec.of(ControlSnapshot.class));

	/**
	 * Guards against an acknowledgement of a discarded proposal after the replica lost
	 * and regained the leadership between two looks at its role.
	 */
	@Test
	void shouldNotCompleteProposalWithEntryOfAnotherTerm() throws Exception {
		CompletableFuture<ControlReply> reply = new CompletableFuture<>();
		long id = this.stateMachine.registerProposal(reply);
		this.stateMachine.handleProposalResult(new ProposalResult(id, Status.APPENDED, 2, 1));
		this.stateMachine.handleProposalResult(new ProposalResult(id, Status.LOST_LEADERSHIP, 2, 1));
		Command other = new Command.RegisterEntry(new EntrySpec("entry-1", "d", "127.0.0.1:1", "boot"));
		this.stateMachine.apply(new LogEntry(2, 3, LogEntry.Kind.COMMAND, 0, this.codec.encode(other)));
		assertThat(reply).isCompletedWithValueMatching((value) -> value instanceof ControlReply.Undecided);
	}

}

package org.redwingramp.core.consensus;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.consensus.LogEntry.Kind;
import org.redwingramp.core.consensus.ProposalResult.Status;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a proposal that gets the result of an entry that another proposal, or
 * another leader, put in the log.
 */
class PendingProposalsTests {

	private final PendingProposals<String> proposals = new PendingProposals<>();

	@Test
	void shouldHandOutHandlerOfCommittedEntryOnce() {
		long id = this.proposals.add("one");
		assertThat(this.proposals.resolved(new ProposalResult(id, Status.APPENDED, 7, 2))).isEmpty();
		assertThat(this.proposals.committed(entry(7, 2))).contains("one");
		assertThat(this.proposals.committed(entry(7, 2))).isEmpty();
		assertThat(this.proposals.abandonAll()).isEmpty();
	}

	/** Guards against acknowledging an entry of the next leader at the same index. */
	@Test
	void shouldNotMatchEntryOfAnotherTermAtTheSameIndex() {
		long id = this.proposals.add("one");
		this.proposals.resolved(new ProposalResult(id, Status.APPENDED, 7, 2));
		assertThat(this.proposals.committed(entry(7, 3))).isEmpty();
		assertThat(this.proposals.resolved(new ProposalResult(id, Status.LOST_LEADERSHIP, 7, 2))).contains("one");
	}

	/** Guards against proposals that revive when a stalled disk delays their results. */
	@Test
	void shouldKeepProposalAbandonedWhoseResultIsReportedLater() {
		long id = this.proposals.add("one");
		assertThat(this.proposals.abandonAll()).containsExactly("one");
		this.proposals.resolved(new ProposalResult(id, Status.APPENDED, 7, 2));
		assertThat(this.proposals.committed(entry(7, 2))).isEmpty();
	}

	@Test
	void shouldHandOutHandlerOfRejectedProposal() {
		long id = this.proposals.add("one");
		assertThat(this.proposals.resolved(new ProposalResult(id, Status.NOT_LEADER, 0, 0))).contains("one");
		assertThat(this.proposals.abandonAll()).isEmpty();
	}

	private static LogEntry entry(long index, long term) {
		return new LogEntry(index, term, Kind.COMMAND, 0, new byte[0]);
	}

}

package org.redwingramp.core.consensus.internal;

import java.util.TreeMap;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.ProposalResult;
import org.redwingramp.core.consensus.ProposalResult.Status;
import org.redwingramp.core.consensus.ReplicaEvent.Propose;
import org.redwingramp.core.consensus.Replicas;

/**
 * Appends the leader's proposals and keeps track of those that are not committed yet. Not
 * thread safe.
 */
final class Proposals {

	/**
	 * Maximum total size of the entries that are not committed yet. Without this limit,
	 * the leader's memory would grow without bound while a majority lags behind.
	 */
	static final long MAX_UNCOMMITTED_BYTES = 4L * 1024 * 1024;

	private final Context context;

	private final TreeMap<Long, ProposalResult> appendedByIndex = new TreeMap<>();

	Proposals(Context context) {
		this.context = context;
	}

	void rejectNotLeader(Propose proposal) {
		reject(proposal, Status.NOT_LEADER);
	}

	// Returns whether the command was appended.
	boolean append(Propose proposal) {
		long size = proposal.command().length;
		if (size > Replicas.MAX_COMMAND_BYTES || this.context.log().uncommittedBytes() + size > MAX_UNCOMMITTED_BYTES) {
			reject(proposal, Status.OVERLOADED);
			return false;
		}
		this.context.append(LogEntry.Kind.COMMAND, proposal.clockMillis(), proposal.command());
		ProposalResult appended = new ProposalResult(proposal.proposalId(), Status.APPENDED,
				this.context.log().lastIndex(), this.context.log().lastTerm());
		this.appendedByIndex.put(appended.index(), appended);
		this.context.effects().result(appended);
		return true;
	}

	void discardCommitted() {
		this.appendedByIndex.headMap(this.context.log().commitIndex(), true).clear();
	}

	void failUncommitted() {
		this.appendedByIndex.values()
			.forEach((appended) -> this.context.effects()
				.result(new ProposalResult(appended.proposalId(), Status.LOST_LEADERSHIP, appended.index(),
						appended.term())));
		this.appendedByIndex.clear();
	}

	private void reject(Propose proposal, Status status) {
		this.context.effects().result(new ProposalResult(proposal.proposalId(), status, 0, 0));
	}

}

package org.redwingramp.core.consensus.internal;

import java.util.TreeMap;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.ProposalResult;
import org.redwingramp.core.consensus.ProposalResult.Status;
import org.redwingramp.core.consensus.ReplicaEvent.Propose;

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

	/** Maximum size of a command, well below the frame limit of 5 MiB between daemons. */
	static final int MAX_COMMAND_BYTES = 1024 * 1024;

	private final Context context;

	private final TreeMap<Long, Long> proposalIdsByIndex = new TreeMap<>();

	Proposals(Context context) {
		this.context = context;
	}

	void rejectNotLeader(Propose proposal) {
		result(proposal.proposalId(), Status.NOT_LEADER, 0);
	}

	// Returns whether the command was appended.
	boolean append(Propose proposal) {
		long size = proposal.command().length;
		if (size > MAX_COMMAND_BYTES || this.context.log().uncommittedBytes() + size > MAX_UNCOMMITTED_BYTES) {
			result(proposal.proposalId(), Status.OVERLOADED, 0);
			return false;
		}
		this.context.append(LogEntry.Kind.COMMAND, proposal.clockMillis(), proposal.command());
		long index = this.context.log().lastIndex();
		this.proposalIdsByIndex.put(index, proposal.proposalId());
		result(proposal.proposalId(), Status.APPENDED, index);
		return true;
	}

	void discardCommitted() {
		this.proposalIdsByIndex.headMap(this.context.log().commitIndex(), true).clear();
	}

	void failUncommitted() {
		this.proposalIdsByIndex.forEach((index, proposalId) -> result(proposalId, Status.LOST_LEADERSHIP, index));
		this.proposalIdsByIndex.clear();
	}

	private void result(long proposalId, Status status, long index) {
		this.context.effects().result(new ProposalResult(proposalId, status, index));
	}

}

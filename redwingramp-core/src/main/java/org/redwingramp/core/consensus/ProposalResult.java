package org.redwingramp.core.consensus;

/**
 * What became of a proposal. Immutable and thread safe.
 *
 * @param proposalId the proposal
 * @param status what became of it
 * @param index the entry's index, 0 if it was rejected
 */
public record ProposalResult(long proposalId, Status status, long index) {

	/** The outcomes of a proposal. */
	public enum Status {

		/** The entry was appended at the index; it is committed once that index is. */
		APPENDED,

		/** This replica isn't the leader; nothing was appended. */
		NOT_LEADER,

		/** Too many entries are not committed yet; nothing was appended. */
		OVERLOADED,

		/** The leader changed; an entry that was appended may or may not be committed. */
		LOST_LEADERSHIP

	}

}

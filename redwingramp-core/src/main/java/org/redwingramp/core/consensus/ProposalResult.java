package org.redwingramp.core.consensus;

/**
 * The outcome of a proposal. Immutable and thread safe.
 *
 * @param proposalId the identifier from the proposal
 * @param status the outcome
 * @param index the entry's index, 0 if it was rejected
 * @param term the entry's term, 0 if it was rejected; only index and term together
 * identify an entry
 */
public record ProposalResult(long proposalId, Status status, long index, long term) {

	/** The outcomes of a proposal. */
	public enum Status {

		/**
		 * The entry was appended at the index; it is committed once an entry with that
		 * index and term is.
		 */
		APPENDED,

		/** This replica isn't the leader; nothing was appended. */
		NOT_LEADER,

		/**
		 * The command or the entries not yet committed exceed their size limit; nothing
		 * was appended.
		 */
		OVERLOADED,

		/**
		 * This replica lost leadership before the appended entry was committed; the entry
		 * may still be committed by another leader or may be discarded.
		 */
		LOST_LEADERSHIP

	}

}

package org.redwingramp.bench.soak;

/**
 * Learns what became of a proposal.
 */
interface ProposalCallback {

	/**
	 * Called once, unless the proposing process stops.
	 * @param status what became of it
	 * @param result the state machine's result, {@code null} unless it was applied
	 */
	void done(Status status, Object result);

	/** What became of a proposal. */
	enum Status {

		/** Committed and applied. */
		APPLIED,

		/** Not appended. */
		REFUSED,

		/** Appended, and the leader changed. */
		UNKNOWN

	}

}

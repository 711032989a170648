package org.redwingramp.bench.soak;

/**
 * Receives the outcome of a proposal.
 */
interface ProposalCallback {

	/**
	 * Called once, unless the proposing process stops.
	 * @param status the outcome
	 * @param result the state machine's result, {@code null} unless the proposal was
	 * applied
	 */
	void done(Status status, Object result);

	/** The outcome of a proposal. */
	enum Status {

		/** Committed and applied. */
		APPLIED,

		/** Not appended to the log. */
		REFUSED,

		/**
		 * The leader changed after it appended the entry, or no reply arrived in time.
		 */
		UNKNOWN

	}

}

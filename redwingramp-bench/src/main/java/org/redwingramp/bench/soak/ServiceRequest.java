package org.redwingramp.bench.soak;

import org.redwingramp.core.control.RequestIdentity;

/**
 * One submission of a caller's request. A resend has the same identity and a new
 * submission number. Immutable and thread safe.
 *
 * @param submission the number of the submission
 * @param key the key that determines the owner
 * @param atMostOnce whether the request must run at most once
 * @param identity the request's identity
 */
record ServiceRequest(long submission, String key, boolean atMostOnce, RequestIdentity identity) {

	/** The outcome that is reported to the caller. */
	enum Answer {

		/** The request ran and its answer is complete. */
		ANSWERED,

		/** This submission did not run and will not run. */
		NOT_RUN,

		/** The request may have run. */
		UNKNOWN

	}

	/**
	 * Receives the answer.
	 */
	interface Receiver {

		/**
		 * Called at most once for a submission by the entry that received it.
		 * @param answer the answer
		 */
		void receive(Answer answer);

	}

}

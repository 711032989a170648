package org.redwingramp.bench.soak;

import org.redwingramp.core.control.RequestIdentity;

/**
 * One submission of a caller's request. Resends have the same identity and another
 * submission. Immutable and thread safe.
 *
 * @param submission identifies the submission
 * @param key the key that decides the owner
 * @param atMostOnce whether it runs at most once
 * @param identity the request's identity
 */
record ServiceRequest(long submission, String key, boolean atMostOnce, RequestIdentity identity) {

	/** What a caller is told. */
	enum Answer {

		/** It ran and the answer is complete. */
		ANSWERED,

		/** This submission didn't run and won't. */
		NOT_RUN,

		/** It may have run. */
		UNKNOWN

	}

	/**
	 * Receives the answer.
	 */
	interface Receiver {

		/**
		 * Called at most once for a submission by the entry that got it.
		 * @param answer the answer
		 */
		void receive(Answer answer);

	}

}

package org.redwingramp.bench.measure;

/**
 * A way in which entries share one target's slots. Not thread safe.
 */
interface SlotSharing {

	/**
	 * Handles a request's arrival at an entry.
	 * @param entry the entry
	 * @param id the request
	 */
	void arrive(int entry, long id);

	/**
	 * Loses the entry whose loss concerns most slots, without notice to the target.
	 */
	void loseWorstEntry();

	/**
	 * Counts the requests that wait for a slot.
	 * @return the number over all entries
	 */
	int waiting();

	/**
	 * Returns how long an answer takes from the target to the entry.
	 * @return the time in nanoseconds
	 */
	long answerNanos();

	/** Sends requests to the target. */
	interface Sender {

		/**
		 * Sends a request over one hop.
		 * @param id the request
		 * @param done runs when the answer is back at the sender
		 */
		void send(long id, Runnable done);

	}

}

package org.redwingramp.bench.measure;

/**
 * A strategy by which entry instances share the slots of one target. Not thread safe.
 */
interface SlotSharing {

	/**
	 * Handles the arrival of a request at an entry.
	 * @param entry the index of the entry
	 * @param id identifies the request
	 */
	void arrive(int entry, long id);

	/**
	 * Stops the entry whose loss affects the most slots, without notice to the target.
	 */
	void loseEntryWithMostSlots();

	/**
	 * Returns the number of requests that wait for a slot.
	 * @return the number of waiting requests of all entries
	 */
	int waiting();

	/**
	 * Returns the time that a response takes from the target to the entry.
	 * @return the time in nanoseconds
	 */
	long responseNanos();

	/** Sends requests to the target. */
	interface Sender {

		/**
		 * Sends a request over one network hop.
		 * @param id identifies the request
		 * @param done runs when the sender has received the response
		 */
		void send(long id, Runnable done);

	}

}

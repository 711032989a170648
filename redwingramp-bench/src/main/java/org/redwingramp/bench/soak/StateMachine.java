package org.redwingramp.bench.soak;

import org.redwingramp.core.consensus.LogEntry;

/**
 * A replicated state machine of a round. Not thread safe.
 */
interface StateMachine {

	/**
	 * Applies a committed entry of any kind.
	 * @param entry the entry
	 * @return the result for the proposer
	 * @throws Exception if an invariant of the state doesn't hold
	 */
	Object apply(LogEntry entry) throws Exception;

	/**
	 * Encodes the state.
	 * @return the encoded state
	 */
	byte[] snapshot();

	/**
	 * Replaces the state.
	 * @param state the encoded state
	 */
	void restore(byte[] state);

	/**
	 * Returns a number that differs for different histories.
	 * @return the number
	 */
	long digest();

}

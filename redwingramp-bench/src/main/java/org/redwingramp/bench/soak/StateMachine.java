package org.redwingramp.bench.soak;

import org.redwingramp.core.consensus.LogEntry;

/**
 * The replicated state machine of a workload. Not thread safe.
 */
interface StateMachine {

	/**
	 * Applies a committed entry of any kind.
	 * @param entry the entry
	 * @return the result for the proposer
	 * @throws Exception if an invariant of the state is violated
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
	 * Returns a hash of the history of applied entries, which differs for different
	 * histories.
	 * @return the hash
	 */
	long digest();

}

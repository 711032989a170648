package org.redwingramp.core.control;

/**
 * The replicated state machine. Deterministic: the same commands in the same order give
 * the same state and results on every replica. Not thread safe; one thread owns it. Views
 * that it hands out are immutable.
 *
 * <p>
 * Invariants, checked after each command: a shard has at most one owner; fences, gate
 * epochs, record revisions and the view version only rise; at most one attempt of a
 * request that runs at most once is started and not aborted.
 */
public interface ControlState {

	/**
	 * Applies a committed command.
	 * @param index the command's index in the log
	 * @param clockMillis the leader's wall clock in milliseconds, as stamped into the
	 * entry
	 * @param command the command
	 * @return the result
	 * @throws InvariantViolatedException if the command would break an invariant; the
	 * replica must stop
	 */
	CommandResult apply(long index, long clockMillis, Command command) throws InvariantViolatedException;

	/**
	 * Returns the current view.
	 * @return the view
	 */
	ControlView view();

	/**
	 * Returns what changed since a version.
	 * @param version the version that the receiver has, 0 for none
	 * @return the changes; a whole view if the version is unknown or too old
	 */
	ViewUpdate changesSince(long version);

	/**
	 * Returns the number of accepted configuration changes.
	 * @return the last configuration revision
	 */
	long revision();

	/**
	 * Returns the number of requests in the ledger.
	 * @return the number
	 */
	int ledgerSize();

	/**
	 * Returns the state as plain data for a snapshot.
	 * @return the data, which shares nothing mutable with this state
	 */
	ControlImage image();

	/**
	 * Replaces the state by that of a snapshot.
	 * @param image the data
	 */
	void restore(ControlImage image);

}

package org.redwingramp.core.control;

/**
 * The replicated state machine of the control group. Deterministic: the same commands in
 * the same order produce the same state and results on every replica. Not thread safe;
 * one thread owns it. Returned views are immutable and may be shared.
 *
 * <p>
 * Invariants, checked after each command: a shard has at most one owner; fences, gate
 * epochs, record revisions and the view version never decrease; an at-most-once request
 * has at most one attempt that was started and not aborted.
 */
public interface ControlState {

	/**
	 * Applies a committed command.
	 * @param index the log index of the command
	 * @param clockMillis the wall clock time in milliseconds that the leader wrote into
	 * the log entry
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
	 * Returns the changes since a view version.
	 * @param version the view version that the receiver has, 0 for none
	 * @return the changes, or the complete view if the version is unknown or its changes
	 * are no longer kept
	 */
	ViewUpdate changesSince(long version);

	/**
	 * Returns the configuration revision, which counts accepted configuration changes.
	 * @return the last configuration revision
	 */
	long revision();

	/**
	 * Returns the number of requests in the ledger.
	 * @return the number of ledger records
	 */
	int ledgerSize();

	/**
	 * Returns a snapshot of the state.
	 * @return the snapshot, which shares no mutable data with this state
	 */
	ControlSnapshot snapshot();

	/**
	 * Replaces the state by the content of a snapshot.
	 * @param snapshot the snapshot
	 */
	void restore(ControlSnapshot snapshot);

}

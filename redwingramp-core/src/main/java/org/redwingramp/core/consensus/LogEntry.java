package org.redwingramp.core.consensus;

/**
 * An entry of the replicated log. Immutable by convention: the payload is never changed
 * after construction. Thread safe.
 *
 * @param index the position in the log, starting at 1
 * @param term the term of the leader that created it
 * @param kind the kind of the payload
 * @param clockMillis the leader's wall clock in milliseconds, never lower than that of an
 * earlier entry
 * @param payload the encoded command or membership, empty for {@link Kind#NO_OP}
 */
public record LogEntry(long index, long term, Kind kind, long clockMillis, byte[] payload) {

	/** The kinds of entry. */
	public enum Kind {

		/**
		 * An empty entry that a new leader appends to commit entries of earlier terms.
		 */
		NO_OP,

		/** A command for the state machine. */
		COMMAND,

		/** A change of the group's membership, encoded by {@link Membership#encode()}. */
		MEMBERSHIP

	}

}

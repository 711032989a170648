package org.redwingramp.core.consensus;

/**
 * A message between replicas. All implementations are immutable records and thread safe.
 */
public sealed interface PeerMessage {

	/**
	 * Returns the sender's term.
	 * @return the term
	 */
	long term();

	/**
	 * Asks whether a replica would vote, without raising its term.
	 *
	 * @param term the term that the sender would start
	 * @param lastIndex the index of the sender's last entry
	 * @param lastTerm the term of that entry
	 */
	record PreVoteRequest(long term, long lastIndex, long lastTerm) implements PeerMessage {
	}

}

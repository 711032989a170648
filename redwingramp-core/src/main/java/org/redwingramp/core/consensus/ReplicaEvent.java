package org.redwingramp.core.consensus;

/**
 * Something that a replica reacts to. All implementations are immutable records.
 */
public sealed interface ReplicaEvent {

	/** Time has passed. Expected at least every 10 ms. */
	record Tick() implements ReplicaEvent {
	}

	/**
	 * A message arrived.
	 *
	 * @param sender the sending replica as authenticated by the transport
	 * @param message the message
	 */
	record Received(ReplicaId sender, PeerMessage message) implements ReplicaEvent {
	}

	/**
	 * A command is to be appended to the log. Only the leader accepts it.
	 *
	 * @param proposalId identifies the proposal in results
	 * @param clockMillis the wall clock in milliseconds
	 * @param command the encoded command
	 */
	record Propose(long proposalId, long clockMillis, byte[] command) implements ReplicaEvent {
	}

	/**
	 * A batch is on the disk and synced.
	 *
	 * @param batch the batch's number
	 */
	record Persisted(long batch) implements ReplicaEvent {
	}

	/**
	 * The state machine's state was encoded, so that the log up to the index can go.
	 *
	 * @param index the index of the last entry that the state includes
	 * @param state the encoded state
	 */
	record Compact(long index, byte[] state) implements ReplicaEvent {
	}

	/**
	 * A listed replica was reached and told its identity. Used for formation and for the
	 * replacement of a replica that lost its disk.
	 *
	 * @param id the replica
	 * @param blank whether it holds no state
	 */
	record PeerSeen(ReplicaId id, boolean blank) implements ReplicaEvent {
	}

}

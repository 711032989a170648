package org.redwingramp.core.consensus;

/**
 * An input to a {@link Replica}. All implementations are immutable records.
 */
public sealed interface ReplicaEvent {

	/** A timer tick. Expected at least every 10 ms. */
	record Tick() implements ReplicaEvent {
	}

	/**
	 * A message from another replica was received.
	 *
	 * @param sender the sending replica as authenticated by the transport
	 * @param message the message
	 */
	record Received(ReplicaId sender, PeerMessage message) implements ReplicaEvent {
	}

	/**
	 * A command is to be appended to the log. Only the leader accepts it.
	 *
	 * @param proposalId identifies the proposal in {@link ProposalResult}
	 * @param clockMillis the wall clock in milliseconds
	 * @param command the encoded command
	 */
	record Propose(long proposalId, long clockMillis, byte[] command) implements ReplicaEvent {
	}

	/**
	 * A batch was written to the disk and synced.
	 *
	 * @param batch the batch's number
	 */
	record Persisted(long batch) implements ReplicaEvent {
	}

	/**
	 * The state machine's state was encoded, so the log up to the index can be compacted.
	 *
	 * @param index the index of the last entry that the state includes
	 * @param state the encoded state
	 */
	record Compact(long index, byte[] state) implements ReplicaEvent {
	}

	/**
	 * Another replica was reached and reported its identity. Used to form the group and
	 * to replace members that lost their disk or, in an open group, are unresponsive.
	 *
	 * @param id the replica
	 * @param blank whether the replica is empty, that is, holds no state
	 */
	record PeerDiscovered(ReplicaId id, boolean blank) implements ReplicaEvent {
	}

}

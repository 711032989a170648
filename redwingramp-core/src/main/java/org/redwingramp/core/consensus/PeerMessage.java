package org.redwingramp.core.consensus;

import java.util.List;

/**
 * A message between replicas. All implementations are immutable records and thread safe.
 * Messages of another cluster are ignored, so a replica that belongs to another group
 * can't disturb this one.
 */
public sealed interface PeerMessage {

	/**
	 * Returns the sender's term.
	 * @return the term, 0 for messages of formation
	 */
	long term();

	/**
	 * Asks whether a replica would vote, without raising its term.
	 *
	 * @param term the term that the sender would start
	 * @param clusterId the sender's cluster
	 * @param lastIndex the index of the sender's last entry
	 * @param lastTerm the term of that entry
	 */
	record PreVoteRequest(long term, String clusterId, long lastIndex, long lastTerm) implements PeerMessage {
	}

	/**
	 * Answers a {@link PreVoteRequest}.
	 *
	 * @param term the requested term if granted, else the sender's term
	 * @param granted whether the sender would vote
	 */
	record PreVoteReply(long term, boolean granted) implements PeerMessage {
	}

	/**
	 * Asks for a vote.
	 *
	 * @param term the sender's term
	 * @param clusterId the sender's cluster
	 * @param lastIndex the index of the sender's last entry
	 * @param lastTerm the term of that entry
	 */
	record VoteRequest(long term, String clusterId, long lastIndex, long lastTerm) implements PeerMessage {
	}

	/**
	 * Answers a {@link VoteRequest}.
	 *
	 * @param term the sender's term
	 * @param granted whether the sender gave its vote of that term
	 */
	record VoteReply(long term, boolean granted) implements PeerMessage {
	}

	/**
	 * Carries entries of the log; without entries it is a heartbeat.
	 *
	 * @param term the leader's term
	 * @param clusterId the leader's cluster
	 * @param sentNanos the leader's monotonic time at sending, returned in the reply and
	 * meaningful to the leader only
	 * @param previousIndex the index of the entry before the first one carried
	 * @param previousTerm the term of that entry
	 * @param commitIndex the leader's commit index
	 * @param entries the entries in order
	 */
	record AppendRequest(long term, String clusterId, long sentNanos, long previousIndex, long previousTerm,
			long commitIndex, List<LogEntry> entries) implements PeerMessage {

		public AppendRequest {
			entries = List.copyOf(entries);
		}

	}

	/**
	 * Answers an {@link AppendRequest}.
	 *
	 * @param term the sender's term
	 * @param sentNanos the value of the request
	 * @param accepted whether the previous entry matched
	 * @param index the last index known to match the leader's log if accepted, else the
	 * index after which the leader should continue
	 */
	record AppendReply(long term, long sentNanos, boolean accepted, long index) implements PeerMessage {
	}

	/**
	 * Carries a part of a snapshot.
	 *
	 * @param term the leader's term
	 * @param clusterId the leader's cluster
	 * @param sentNanos the leader's monotonic time at sending, returned in the reply
	 * @param index the index of the last entry that the snapshot includes
	 * @param lastTerm the term of that entry
	 * @param clockMillis the wall clock of that entry in milliseconds
	 * @param membership the membership in force at that index
	 * @param totalBytes the size of the whole state
	 * @param offset where the part starts
	 * @param part the bytes from there
	 */
	record SnapshotChunk(long term, String clusterId, long sentNanos, long index, long lastTerm, long clockMillis,
			Membership membership, long totalBytes, long offset, byte[] part) implements PeerMessage {
	}

	/**
	 * Answers a {@link SnapshotChunk}.
	 *
	 * @param term the sender's term
	 * @param sentNanos the value of the chunk
	 * @param index the snapshot's index
	 * @param nextOffset where the next part has to start
	 * @param installed whether the sender now holds all entries up to the index
	 */
	record SnapshotReply(long term, long sentNanos, long index, long nextOffset,
			boolean installed) implements PeerMessage {
	}

	/**
	 * Proposes to a blank replica to form a group.
	 *
	 * @param term 0
	 * @param membership the proposed group
	 */
	record FormOffer(long term, Membership membership) implements PeerMessage {
	}

	/**
	 * Tells that the sender is blank and agrees to the offered group.
	 *
	 * @param term 0
	 * @param clusterId the group's random identifier
	 */
	record FormAccept(long term, String clusterId) implements PeerMessage {
	}

	/**
	 * Tells a blank replica that all replicas agreed to the group.
	 *
	 * @param term 0
	 * @param membership the group
	 */
	record FormCommit(long term, Membership membership) implements PeerMessage {
	}

}

package org.redwingramp.core.consensus;

import java.util.List;

/**
 * A message between replicas. All implementations are immutable records and thread safe.
 * A replica ignores messages of another cluster, so a replica of another group can't
 * disturb this one.
 */
public sealed interface PeerMessage {

	/**
	 * Returns the sender's term.
	 * @return the term, 0 for messages of group formation
	 */
	long term();

	/**
	 * Asks whether the receiver would grant a vote, without raising its term.
	 *
	 * @param term the term that the sender would start
	 * @param clusterId the sender's cluster
	 * @param lastIndex the index of the sender's last entry
	 * @param lastTerm the term of that entry
	 */
	record PreVoteRequest(long term, String clusterId, long lastIndex, long lastTerm) implements PeerMessage {
	}

	/**
	 * Replies to a {@link PreVoteRequest}.
	 *
	 * @param term the requested term if granted, else the sender's term
	 * @param granted whether the sender would grant its vote
	 */
	record PreVoteReply(long term, boolean granted) implements PeerMessage {
	}

	/**
	 * Requests a vote for the sender.
	 *
	 * @param term the sender's term
	 * @param clusterId the sender's cluster
	 * @param lastIndex the index of the sender's last entry
	 * @param lastTerm the term of that entry
	 */
	record VoteRequest(long term, String clusterId, long lastIndex, long lastTerm) implements PeerMessage {
	}

	/**
	 * Replies to a {@link VoteRequest}.
	 *
	 * @param term the sender's term
	 * @param granted whether the sender granted its vote in that term
	 */
	record VoteReply(long term, boolean granted) implements PeerMessage {
	}

	/**
	 * Replicates log entries; without entries it is a heartbeat.
	 *
	 * @param term the leader's term
	 * @param clusterId the leader's cluster
	 * @param sentNanos the leader's monotonic time at sending, echoed in the reply and
	 * meaningful to the leader only
	 * @param previousIndex the index of the entry that precedes {@code entries}
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
	 * Replies to an {@link AppendRequest}.
	 *
	 * @param term the sender's term
	 * @param sentNanos the value from the request
	 * @param accepted whether the previous entry matched
	 * @param index the last index known to match the leader's log if accepted, else the
	 * index after which the leader should continue
	 */
	record AppendReply(long term, long sentNanos, boolean accepted, long index) implements PeerMessage {
	}

	/**
	 * Transfers a part of a snapshot.
	 *
	 * @param term the leader's term
	 * @param clusterId the leader's cluster
	 * @param sentNanos the leader's monotonic time at sending, echoed in the reply
	 * @param index the index of the last entry that the snapshot includes
	 * @param lastTerm the term of that entry
	 * @param clockMillis the wall clock of that entry in milliseconds
	 * @param membership the membership in force at that index
	 * @param totalBytes the total size of the encoded state
	 * @param offset the offset of the part in the state
	 * @param part the bytes at that offset
	 */
	record SnapshotChunk(long term, String clusterId, long sentNanos, long index, long lastTerm, long clockMillis,
			Membership membership, long totalBytes, long offset, byte[] part) implements PeerMessage {
	}

	/**
	 * Replies to a {@link SnapshotChunk}.
	 *
	 * @param term the sender's term
	 * @param sentNanos the value from the chunk
	 * @param index the snapshot's index
	 * @param nextOffset the offset at which the next part has to start
	 * @param installed whether the sender now holds all entries up to the index
	 */
	record SnapshotReply(long term, long sentNanos, long index, long nextOffset,
			boolean installed) implements PeerMessage {
	}

	/**
	 * Proposes to an empty replica to form a group.
	 *
	 * @param term 0
	 * @param membership the proposed group
	 */
	record FormOffer(long term, Membership membership) implements PeerMessage {
	}

	/**
	 * States that the sender is empty and accepts the offered group.
	 *
	 * @param term 0
	 * @param clusterId the group's random identifier
	 */
	record FormAccept(long term, String clusterId) implements PeerMessage {
	}

	/**
	 * Notifies an empty replica that all replicas have accepted the group.
	 *
	 * @param term 0
	 * @param membership the group
	 */
	record FormCommit(long term, Membership membership) implements PeerMessage {
	}

}

package org.redwingramp.core.consensus;

/**
 * The role of a replica in its current term. Immutable and thread safe.
 */
public enum Role {

	/** Empty: holds no state and belongs to no group yet. */
	BLANK(false),

	/** Receives the log but doesn't vote or count towards a quorum. */
	LEARNER(false),

	/** Votes, and replicates the log of a leader if there is one. */
	FOLLOWER(true),

	/** Requests votes to become the leader. */
	CANDIDATE(true),

	/** Accepts proposals and replicates the log to the other replicas. */
	LEADER(true);

	private final boolean voter;

	Role(boolean voter) {
		this.voter = voter;
	}

	/**
	 * Returns whether a replica in this role is a voter, that is, counts towards a
	 * quorum.
	 * @return whether the replica is a voter
	 */
	public boolean voter() {
		return this.voter;
	}

}

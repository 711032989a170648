package org.redwingramp.core.consensus;

/**
 * The role of a replica in its current term. Immutable and thread safe.
 */
public enum Role {

	/** Holds no state and belongs to no group yet. */
	BLANK(false),

	/** Receives the log but doesn't count towards a quorum. */
	LEARNER(false),

	/** Follows a leader. */
	FOLLOWER(true),

	/** Asks for votes. */
	CANDIDATE(true),

	/** Leads the group. */
	LEADER(true);

	private final boolean voter;

	Role(boolean voter) {
		this.voter = voter;
	}

	/**
	 * Returns whether a replica in this role counts towards a quorum.
	 * @return whether it votes
	 */
	public boolean voter() {
		return this.voter;
	}

}

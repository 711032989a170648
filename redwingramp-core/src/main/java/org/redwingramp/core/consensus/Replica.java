package org.redwingramp.core.consensus;

import java.util.Optional;

/**
 * One replica of the replicated log. Deterministic: it reads no clock, does no I/O and
 * takes randomness from the generator given at creation. Not thread safe; one thread owns
 * it.
 *
 * <p>
 * Invariants: at most one leader for a term; a committed entry is never lost or changed
 * while a majority of the voters keeps its disks; entries are delivered in order and
 * once; a replica whose disk was lost counts towards no quorum until it holds the log.
 */
public interface Replica {

	/**
	 * Handles an event.
	 * @param event the event
	 * @param now the monotonic time in nanoseconds, never lower than before. The first
	 * event may have the time of the process's start: the replica refuses votes for one
	 * minimum election timeout from then, as if it had heard a leader.
	 * @return the effects, to be carried out in the order that {@link ReplicaEffects}
	 * states
	 * @throws ConsensusInvariantException if an invariant doesn't hold; the replica must
	 * be stopped
	 */
	ReplicaEffects handle(ReplicaEvent event, long now);

	/**
	 * Returns this replica's identity.
	 * @return the identity
	 */
	ReplicaId id();

	/**
	 * Returns the current role.
	 * @return the role
	 */
	Role role();

	/**
	 * Returns the current term.
	 * @return the term
	 */
	long term();

	/**
	 * Returns the leader of the current term, if known.
	 * @return the leader
	 */
	Optional<ReplicaId> leader();

	/**
	 * Returns the membership in force.
	 * @return the membership, or empty before the group formed
	 */
	Optional<Membership> membership();

	/**
	 * Returns the index of the last committed entry.
	 * @return the index
	 */
	long commitIndex();

	/**
	 * Returns whether this replica is the leader, has applied an entry of its own term
	 * and holds the leader lease, so that its state may be read without another round.
	 * @param now the monotonic time in nanoseconds
	 * @return whether reads are current
	 */
	boolean mayRead(long now);

}

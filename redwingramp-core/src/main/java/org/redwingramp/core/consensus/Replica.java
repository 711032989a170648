package org.redwingramp.core.consensus;

import java.util.Optional;

/**
 * One replica of a replicated log, based on the Raft consensus algorithm. Deterministic:
 * it reads no clock, does no I/O and takes randomness from the generator passed at
 * creation. Not thread safe; it must be confined to one thread.
 *
 * <p>
 * Invariants: there is at most one leader in a term; a committed entry is never lost or
 * changed while a majority of the voters keep their disks; entries are delivered in order
 * and once; a replica that lost its disk counts towards no quorum until it holds the log
 * again.
 */
public interface Replica {

	/**
	 * Handles an event.
	 * @param event the event
	 * @param now the monotonic time in nanoseconds, never lower than in the previous
	 * call. The first call may pass the start time of the process: the replica refuses
	 * votes for one minimum election timeout from that time, as if it had received a
	 * heartbeat then.
	 * @return the effects, to be carried out in the order that {@link ReplicaEffects}
	 * states
	 * @throws ConsensusInvariantException if an invariant is violated; the replica must
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
	 * Returns the latest membership in the log.
	 * @return the membership, or empty before the group is formed
	 */
	Optional<Membership> membership();

	/**
	 * Returns the index of the last committed entry.
	 * @return the index
	 */
	long commitIndex();

	/**
	 * Returns the size of the log entries that are kept in memory.
	 * @return the number of bytes
	 */
	long logBytes();

	/**
	 * Returns whether this replica is the leader, has committed an entry of its own term
	 * and holds the leader lease, so that its state may be read without another round of
	 * messages.
	 * @param now the monotonic time in nanoseconds
	 * @return whether reads are linearizable
	 */
	boolean mayRead(long now);

}

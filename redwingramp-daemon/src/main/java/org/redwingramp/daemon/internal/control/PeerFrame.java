package org.redwingramp.daemon.internal.control;

import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * A one-way message between control replicas. All implementations are immutable records
 * and thread safe.
 */
public sealed interface PeerFrame {

	/**
	 * A consensus message.
	 *
	 * @param sender the sending replica
	 * @param receiver the replica that is meant, with its incarnation
	 * @param message the message
	 */
	record Consensus(ReplicaId sender, ReplicaId receiver, PeerMessage message) implements PeerFrame {
	}

	/**
	 * Tells the sender's identity.
	 *
	 * @param sender the sending replica
	 * @param blank whether it holds no state
	 */
	record Hello(ReplicaId sender, boolean blank) implements PeerFrame {
	}

}

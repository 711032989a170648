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
	 * @param receiver the receiving replica; a replica with another incarnation ignores
	 * the message
	 * @param message the message
	 */
	record Consensus(ReplicaId sender, ReplicaId receiver, PeerMessage message) implements PeerFrame {
	}

	/**
	 * Announces the identity of the sender.
	 *
	 * @param sender the sending replica
	 * @param blank whether the sender is empty, that is, holds no state
	 */
	record Hello(ReplicaId sender, boolean blank) implements PeerFrame {
	}

}

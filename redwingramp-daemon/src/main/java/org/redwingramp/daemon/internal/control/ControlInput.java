package org.redwingramp.daemon.internal.control;

import java.util.concurrent.CompletableFuture;

import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * An item of the control loop's inbound ring. All implementations are immutable records.
 */
sealed interface ControlInput {

	/**
	 * A consensus message arrived.
	 *
	 * @param sender the sending replica
	 * @param message the message
	 */
	record PeerInput(ReplicaId sender, PeerMessage message) implements ControlInput {
	}

	/**
	 * A listed replica told its identity.
	 *
	 * @param id the replica
	 * @param blank whether it holds no state
	 */
	record HelloInput(ReplicaId id, boolean blank) implements ControlInput {
	}

	/**
	 * The state up to an index was encoded.
	 *
	 * @param index the index
	 * @param state the encoded state
	 */
	record SnapshotInput(long index, byte[] state) implements ControlInput {
	}

	/**
	 * A call of another daemon.
	 *
	 * @param call the call
	 * @param reply completed with the reply
	 */
	record CallInput(ControlCall call, CompletableFuture<ControlReply> reply) implements ControlInput {
	}

}

package org.redwingramp.daemon.internal.control;

import java.util.concurrent.CompletableFuture;

import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * An item of the input queue of the {@link ControlLoop}. All implementations are
 * immutable records.
 */
sealed interface ControlInput {

	/**
	 * A consensus message was received.
	 *
	 * @param sender the sending replica
	 * @param message the message
	 */
	record PeerInput(ReplicaId sender, PeerMessage message) implements ControlInput {
	}

	/**
	 * A replica that the settings list announced its identity.
	 *
	 * @param id the identity of the replica
	 * @param empty whether the replica holds no state
	 */
	record HelloInput(ReplicaId id, boolean empty) implements ControlInput {
	}

	/**
	 * The background thread has encoded a snapshot of the control state.
	 *
	 * @param index the index of the last log entry that the snapshot includes
	 * @param state the encoded control state
	 */
	record SnapshotInput(long index, byte[] state) implements ControlInput {
	}

	/**
	 * A call of another daemon was received.
	 *
	 * @param call the call
	 * @param reply completed with the reply
	 */
	record CallInput(ControlCall call, CompletableFuture<ControlReply> reply) implements ControlInput {
	}

}
